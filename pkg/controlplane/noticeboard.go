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
	// maxNotices bounds the memory of a burst.
	maxNotices = 4096
)

// noticeKey tells notices apart. Two observers of one fact make one notice.
type noticeKey struct {
	kind                 peerpb.Notice_Kind
	subject, incarnation string
	fingerprint          uint64
}

type postedNotice struct {
	notice   *peerpb.Notice
	observed time.Time
	sends    int // left
}

// noticeBoard holds the notices that this instance has seen and decides which
// ones it forwards. It is not safe for concurrent use.
type noticeBoard struct {
	posted map[noticeKey]*postedNotice
	order  []noticeKey // oldest first
}

func newNoticeBoard() *noticeBoard {
	return &noticeBoard{posted: make(map[noticeKey]*postedNotice)}
}

// post adds a notice. It returns the time of the observation and whether the
// notice is new and young enough to count.
func (b *noticeBoard) post(n *peerpb.Notice, now time.Time) (observed time.Time, isNew bool) {
	b.expire(now)
	age := time.Duration(max(n.GetAgeMs(), 0)) * time.Millisecond
	key := noticeKey{n.GetKind(), n.GetSubject(), n.GetIncarnation(), n.GetFingerprint()}
	if _, known := b.posted[key]; known || age >= noticeMaxAge || len(b.posted) >= maxNotices {
		return time.Time{}, false
	}
	observed = now.Add(-age)
	b.posted[key] = &postedNotice{notice: proto.CloneOf(n), observed: observed, sends: noticeSends}
	b.order = append(b.order, key)
	return observed, true
}

// outgoing returns the notices for one message, youngest first, and counts them
// as forwarded once.
func (b *noticeBoard) outgoing(now time.Time) []*peerpb.Notice {
	var out []*peerpb.Notice
	for i := len(b.order) - 1; i >= 0 && len(out) < maxNoticesPerMessage; i-- {
		p := b.posted[b.order[i]]
		age := now.Sub(p.observed)
		if p.sends == 0 || age >= noticeForwardAge {
			continue
		}
		p.sends--
		n := proto.CloneOf(p.notice)
		n.AgeMs = age.Milliseconds()
		out = append(out, n)
	}
	return out
}

// expire forgets the oldest notices. Notices are posted in the order of their
// arrival, so an old observation that arrived late is kept a little longer.
func (b *noticeBoard) expire(now time.Time) {
	for len(b.order) > 0 {
		p := b.posted[b.order[0]]
		if now.Sub(p.observed) < noticeMaxAge {
			return
		}
		delete(b.posted, b.order[0])
		b.order = b.order[1:]
	}
}
