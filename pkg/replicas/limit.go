package replicas

import "time"

const (
	// limitCut is the factor of a lowered limit.
	limitCut = 0.5
	// limitGrowth is the factor of a raised limit below 1, limitStep what a reply adds
	// above: some ten replies in time for one more attempt.
	limitGrowth = 1.5
	limitStep   = 0.1
	// leastLimit lets a server be tried about once in the time of ten replies, so
	// that its recovery is noticed.
	leastLimit = 0.1
	// fastShare of the time that it had is a reply of a server without a queue; after
	// fastReplies of them in a row the limit is lifted.
	fastShare   = 0.4
	fastReplies = 3
	// lateWindow is the time in which a second moment without replies in time has to
	// follow the first: a server that pauses once is not short of room.
	lateWindow = time.Second
	// longestPause is how long one pause of a server may delay attempts: those that it
	// delays are one moment, however short the time is that each has.
	longestPause = 250 * time.Millisecond
	// limitMemory lifts a limit when no attempt was late or slow for so long.
	limitMemory = 2 * time.Second
)

// limit is the number of attempts that this instance may run at one server at a
// time. There is none until an attempt was not in time. From then on the server has
// more work than it can do in time, so that requests wait here, where they can be
// given up, and not in its queue. Below 1, a pause follows each attempt.
type limit struct {
	value float64   // 0 is none
	cut   time.Time // when an attempt was last found not to be in time
	held  time.Time // when an attempt last was late or slow
	fast  int       // fast replies in a row
}

// lower takes an attempt into account that was not in time. The limit is lowered at
// most once for the attempts of one moment, and is at most what the server runs at
// once.
func (l *limit) lower(began, now time.Time, capacity int) {
	if began.Before(l.cut) {
		return
	}
	since := now.Sub(l.cut)
	if l.value == 0 && since < longestPause {
		return
	}
	l.cut, l.held, l.fast = now, now, 0
	switch {
	case l.value != 0:
		l.value = max(l.value*limitCut, leastLimit)
	case since <= lateWindow:
		l.value = float64(max(capacity, 1))
	}
}

// hold records that there is still a reason for the limit.
func (l *limit) hold(now time.Time) { l.fast, l.held = 0, now }

// age lifts a limit that has had no reason for long.
func (l *limit) age(now time.Time) {
	if l.value != 0 && now.Sub(l.held) > limitMemory {
		*l = limit{}
	}
}

// raise takes a reply into account that took a share of the time that it had.
func (l *limit) raise(share float64, capacity int, now time.Time) {
	if l.value == 0 {
		if share <= fastShare {
			l.cut = time.Time{}
		}
		return
	}
	if share > fastShare {
		l.hold(now)
	} else if l.fast++; l.fast >= fastReplies {
		l.value = 0
		return
	}
	if l.value < 1 {
		l.value = min(l.value*limitGrowth, 1)
		return
	}
	l.value = min(l.value+limitStep, float64(max(capacity, 1)))
}

// slow reports whether attempts were late though few ran at a time: more room would not
// have helped them.
func (l *limit) slow() bool { return l.value != 0 && l.value < 1 }

// busy reports whether the server is limited and has attempts, so that one that is
// late anyway has to wait.
func (l *limit) busy(running int) bool { return l.value != 0 && running > 0 }

// full reports whether no further attempt may start. Idle is the time since the
// last attempt has ended, usual the time that one takes.
func (l *limit) full(running int, idle, usual time.Duration) bool {
	switch {
	case l.value == 0:
		return false
	case running > 0 || l.value >= 1:
		return float64(running) >= l.value
	default:
		return idle < time.Duration((1/l.value-1)*float64(usual))
	}
}
