package feed

// readCause is why an instance reads all items.
type readCause string

const (
	readAtStart     readCause = "start"
	readHistoryGone readCause = "history_gone" // the source no longer has the changes since this instance's revision
	readNewEra      readCause = "new_era"      // the source has seen a restored store
)
