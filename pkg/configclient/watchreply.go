package configclient

// WatchReply is the reply to a watch. It holds the service's revision and the
// revision of every key; KeyRevisions is empty if no key has changed.
type WatchReply struct {
	Revision     int64            `json:"revision"`
	KeyRevisions map[string]int64 `json:"keys"`
}
