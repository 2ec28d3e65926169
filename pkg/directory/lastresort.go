package directory

import "time"

const (
	// lastResortShare is the share of the drain time, from when this instance learns that a
	// server leaves, during which the server may still get requests if its service has no
	// other server.
	lastResortShare = 0.5
	// lapsedShare is the least such share for a server whose entry is gone: it may have expired
	// while the server works, and is then back within some seconds. An instance that reaches the
	// platform, or another one that does, mostly learns of the removal within the rest.
	lapsedShare = 0.2
	// sendMargin is how long before the end of the drain time a leaving server gets its last
	// request, so that the request arrives within it.
	sendMargin = 100 * time.Millisecond
)

// lastResort decides until when a leaving server may still get requests if its service has no
// other server.
type lastResort struct {
	drain time.Duration // for which a server accepts requests after the platform has accepted that it leaves
}

// end returns the end of that time for a server of which this instance has learned at one time
// that it leaves. The platform has accepted that after another time, zero if unknown. An instance
// whose source has lost the platform without noticing learns of it late, so the drain time is
// counted from the earliest possible time.
func (l lastResort) end(learned, after time.Time) time.Time {
	end := learned.Add(l.share(lastResortShare))
	if after.IsZero() {
		return end
	}
	return earlier(end, after.Add(l.drain-sendMargin))
}

// endOfLapsed is end for a server whose entry is gone.
func (l lastResort) endOfLapsed(learned, after time.Time) time.Time {
	return later(l.end(learned, after), learned.Add(l.share(lapsedShare)))
}

func (l lastResort) share(share float64) time.Duration {
	return time.Duration(share * float64(l.drain))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (s *Server) lastResortExpired(now time.Time) bool { return now.After(s.lastResortUntil) }
