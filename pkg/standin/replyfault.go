package standin

import "time"

// ReplyFaultKind names a way in which replies are wrong.
type ReplyFaultKind string

// Kinds of wrong replies.
const (
	ReplyLate          ReplyFaultKind = "late"           // correct, but Delay later
	ReplyTruncated     ReplyFaultKind = "truncated"      // half of the bytes, then the connection closes
	ReplyCrossed       ReplyFaultKind = "crossed"        // the reply of an earlier request
	ReplyOtherSnapshot ReplyFaultKind = "other-snapshot" // another snapshot's data, labelled as such
)

// ReplyFault makes every Every-th search reply wrong; Every 0 or 1 is each.
type ReplyFault struct {
	Kind  ReplyFaultKind
	Every int64
	Delay time.Duration // for ReplyLate
}

func (f *ReplyFault) applies(count int64) bool {
	return f != nil && (f.Every <= 1 || count%f.Every == 0)
}
