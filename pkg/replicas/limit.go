package replicas

import "time"

const (
	// limitDecreaseFactor multiplies the limit when attempts miss their due time.
	limitDecreaseFactor = 0.5
	// limitIncreaseFactor multiplies a limit below 1 for each reply in time.
	// limitIncreaseStep is added to a limit from 1 on: about ten replies in time
	// allow one more attempt.
	limitIncreaseFactor = 1.5
	limitIncreaseStep   = 0.1
	// minLimit allows about one attempt in the time of ten replies, so that the
	// recovery of a server is noticed.
	minLimit = 0.1
	// fastReplyShare is the share of an attempt's time up to its due time within which
	// a reply is fast: the server has no queue. After fastRepliesToLift consecutive
	// fast replies the limit is lifted.
	fastReplyShare    = 0.4
	fastRepliesToLift = 3
	// lateWindow is the time within which attempts have to miss their due time a second
	// time before a limit is set. A server that pauses once is not overloaded.
	lateWindow = time.Second
	// maxPause is the longest delay that one pause of a server causes. Late attempts
	// within this time count as one event, even if the time until each is due is short.
	maxPause = 250 * time.Millisecond
	// limitExpiry is the time without a late or slow attempt after which a limit is lifted.
	limitExpiry = 2 * time.Second
)

// concurrencyLimit bounds the attempts that this instance runs at one server at a time. It
// is set when attempts repeatedly miss their due time, which shows that the server has
// more work than it can do in time. Requests then wait in this instance, which can drop
// them, instead of in the server's queue. A limit below 1 allows one attempt at a time
// and requires an idle time after each.
type concurrencyLimit struct {
	value         float64   // 0 is none
	lastMissed    time.Time // when an attempt was last counted as missing its due time
	lastConfirmed time.Time // when an attempt was last late or slow
	fastReplies   int       // consecutive fast replies
}

// lower sets or lowers the limit after an attempt that missed its due time. An attempt that
// began before lastMissed is part of an event already counted and has no effect. A new limit
// is the server's capacity.
func (l *concurrencyLimit) lower(began, now time.Time, capacity int) {
	if began.Before(l.lastMissed) {
		return
	}
	since := now.Sub(l.lastMissed)
	if l.value == 0 && since < maxPause {
		return
	}
	l.lastMissed, l.lastConfirmed, l.fastReplies = now, now, 0
	switch {
	case l.value != 0:
		l.value = max(l.value*limitDecreaseFactor, minLimit)
	case since <= lateWindow:
		l.value = float64(max(capacity, 1))
	}
}

// confirm records that the limit is still needed.
func (l *concurrencyLimit) confirm(now time.Time) { l.fastReplies, l.lastConfirmed = 0, now }

// expire lifts a limit that no attempt has confirmed for limitExpiry.
func (l *concurrencyLimit) expire(now time.Time) {
	if l.value != 0 && now.Sub(l.lastConfirmed) > limitExpiry {
		*l = concurrencyLimit{}
	}
}

// raise raises or lifts the limit after a reply in time. Share is the reply time as a
// share of the time that the attempt had until it was due.
func (l *concurrencyLimit) raise(share float64, capacity int, now time.Time) {
	if l.value == 0 {
		if share <= fastReplyShare {
			l.lastMissed = time.Time{}
		}
		return
	}
	if share > fastReplyShare {
		l.confirm(now)
	} else if l.fastReplies++; l.fastReplies >= fastRepliesToLift {
		l.value = 0
		return
	}
	if l.value < 1 {
		l.value = min(l.value*limitIncreaseFactor, 1)
		return
	}
	l.value = min(l.value+limitIncreaseStep, float64(max(capacity, 1)))
}

// slow reports whether attempts were late even with one at a time, so that a lower limit
// would not help.
func (l *concurrencyLimit) slow() bool { return l.value != 0 && l.value < 1 }

// busy reports whether the server is limited and runs attempts. Attempts that are late
// anyway then wait.
func (l *concurrencyLimit) busy(running int) bool { return l.value != 0 && running > 0 }

// full reports whether the limit allows no further attempt now. Idle is the time since
// the last attempt ended, typicalLatency the expected time of an attempt.
func (l *concurrencyLimit) full(running int, idle, typicalLatency time.Duration) bool {
	switch {
	case l.value == 0:
		return false
	case running > 0 || l.value >= 1:
		return float64(running) >= l.value
	default:
		return idle < time.Duration((1/l.value-1)*float64(typicalLatency))
	}
}
