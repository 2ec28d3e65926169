package controlplane

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

const (
	// maxNoticeSends bounds how often one instance sends the same notice: three
	// pushes at once and then one or two messages per second for several seconds.
	maxNoticeSends = 16
	// maxNoticeForwardAge is the age at which this instance stops sending a
	// notice, because every reachable instance has received it by then.
	maxNoticeForwardAge = 8 * time.Second
	// maxNoticeAge is the age at which a received notice is ignored and a stored
	// one is removed, which bounds the memory for notices that were already seen.
	maxNoticeAge = 30 * time.Second
	// maxNoticesPerMessage keeps messages small when there are many recent notices.
	maxNoticesPerMessage = 64
	// maxNotices bounds the memory for a burst of notices. Above it the notice that
	// arrived first is removed.
	maxNotices = 4096
)

// noticeKey identifies the fact that a notice reports. The observer is not part of
// the key, so reports of the same fact by two observers count as one notice.
type noticeKey struct {
	kind                 peerpb.Notice_Kind
	subject, incarnation string
	fingerprint          uint64
}

type noticeEntry struct {
	notice    *peerpb.Notice
	observed  time.Time
	sendsLeft int // how often the notice may still be sent
}

// noticeBuffer holds the notices that this instance has seen and selects those
// that the next message carries. It is not safe for concurrent use.
type noticeBuffer struct {
	entries  map[noticeKey]*noticeEntry
	arrivals []noticeKey // keys of entries, first arrival first
}

func newNoticeBuffer() *noticeBuffer {
	return &noticeBuffer{entries: make(map[noticeKey]*noticeEntry)}
}

// add stores a notice. isNew is false when the notice was seen before or has
// reached maxNoticeAge; it is then not stored. observed is the time at which the
// fact of a new notice was observed.
func (b *noticeBuffer) add(n *peerpb.Notice, now time.Time) (observed time.Time, isNew bool) {
	b.expire(now)
	age := time.Duration(max(n.GetAgeMs(), 0)) * time.Millisecond
	key := noticeKey{n.GetKind(), n.GetSubject(), n.GetIncarnation(), n.GetFingerprint()}
	if _, known := b.entries[key]; known || age >= maxNoticeAge {
		return time.Time{}, false
	}
	if len(b.arrivals) >= maxNotices {
		b.dropOldest()
	}
	observed = now.Add(-age)
	b.entries[key] = &noticeEntry{notice: proto.CloneOf(n), observed: observed, sendsLeft: maxNoticeSends}
	b.arrivals = append(b.arrivals, key)
	return observed, true
}

// outgoing returns the notices for one message, latest arrival first, and counts
// each as sent once.
func (b *noticeBuffer) outgoing(now time.Time) []*peerpb.Notice {
	var out []*peerpb.Notice
	for i := len(b.arrivals) - 1; i >= 0 && len(out) < maxNoticesPerMessage; i-- {
		entry := b.entries[b.arrivals[i]]
		age := now.Sub(entry.observed)
		if entry.sendsLeft == 0 || age >= maxNoticeForwardAge {
			continue
		}
		entry.sendsLeft--
		n := proto.CloneOf(entry.notice)
		n.AgeMs = age.Milliseconds()
		out = append(out, n)
	}
	return out
}

// expire removes notices that have reached maxNoticeAge. It goes through the notices in
// order of arrival and stops at the first one that is still valid, so an old
// notice that arrived late is kept a little longer.
func (b *noticeBuffer) expire(now time.Time) {
	for len(b.arrivals) > 0 {
		oldest := b.entries[b.arrivals[0]]
		if now.Sub(oldest.observed) < maxNoticeAge {
			return
		}
		b.dropOldest()
	}
}

// dropOldest removes the notice that arrived first.
func (b *noticeBuffer) dropOldest() {
	delete(b.entries, b.arrivals[0])
	b.arrivals = b.arrivals[1:]
}
