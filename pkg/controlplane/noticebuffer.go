package controlplane

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

const (
	// noticeSends bounds how often one instance forwards a notice: three pushes
	// at once and then one or two messages a second for several seconds.
	noticeSends = 16
	// noticeForwardAge is the age after which a notice is not forwarded any
	// more; it has reached every reachable instance by then.
	noticeForwardAge = 8 * time.Second
	// noticeMaxAge is the age after which a received notice is ignored. It also
	// bounds the memory of notices that were seen already.
	noticeMaxAge = 30 * time.Second
	// maxNoticesPerMessage keeps a message small when many notices are young.
	maxNoticesPerMessage = 64
	// maxNotices bounds the memory of a burst; the oldest are dropped then.
	maxNotices = 4096
)

// noticeKey tells notices apart. Two observers of one fact make one notice.
type noticeKey struct {
	kind                 peerpb.Notice_Kind
	subject, incarnation string
	fingerprint          uint64
}

type noticeEntry struct {
	notice   *peerpb.Notice
	observed time.Time
	sends    int // left
}

// noticeBuffer holds the notices that this instance has seen and decides which
// ones it forwards. It is not safe for concurrent use.
type noticeBuffer struct {
	entries map[noticeKey]*noticeEntry
	order   []noticeKey // oldest first
}

func newNoticeBuffer() *noticeBuffer {
	return &noticeBuffer{entries: make(map[noticeKey]*noticeEntry)}
}

// add takes over a notice. It returns the time of the observation and whether the
// notice is new and young enough to count.
func (b *noticeBuffer) add(n *peerpb.Notice, now time.Time) (observed time.Time, isNew bool) {
	b.expire(now)
	age := time.Duration(max(n.GetAgeMs(), 0)) * time.Millisecond
	key := noticeKey{n.GetKind(), n.GetSubject(), n.GetIncarnation(), n.GetFingerprint()}
	if _, known := b.entries[key]; known || age >= noticeMaxAge {
		return time.Time{}, false
	}
	if len(b.order) >= maxNotices {
		b.dropOldest()
	}
	observed = now.Add(-age)
	b.entries[key] = &noticeEntry{notice: proto.CloneOf(n), observed: observed, sends: noticeSends}
	b.order = append(b.order, key)
	return observed, true
}

// outgoing returns the notices for one message, youngest first, and counts them
// as forwarded once.
func (b *noticeBuffer) outgoing(now time.Time) []*peerpb.Notice {
	var out []*peerpb.Notice
	for i := len(b.order) - 1; i >= 0 && len(out) < maxNoticesPerMessage; i-- {
		entry := b.entries[b.order[i]]
		age := now.Sub(entry.observed)
		if entry.sends == 0 || age >= noticeForwardAge {
			continue
		}
		entry.sends--
		n := proto.CloneOf(entry.notice)
		n.AgeMs = age.Milliseconds()
		out = append(out, n)
	}
	return out
}

// expire forgets the oldest notices. Notices are added in the order of their
// arrival, so an old observation that arrived late is kept a little longer.
func (b *noticeBuffer) expire(now time.Time) {
	for len(b.order) > 0 {
		oldest := b.entries[b.order[0]]
		if now.Sub(oldest.observed) < noticeMaxAge {
			return
		}
		b.dropOldest()
	}
}

func (b *noticeBuffer) dropOldest() {
	delete(b.entries, b.order[0])
	b.order = b.order[1:]
}
