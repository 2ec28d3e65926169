package replicas

import "time"

// Load is what a server states about its work at one moment.
type Load struct {
	Running  int     // requests that it runs
	Waiting  int     // requests in its queue
	Slots    int     // requests that it can run at the same time, at least 1
	Slowness float64 // how long work takes now, as a multiple of the usual time
}

// loadFreshness is how long a stated load is used. It covers some requests of 5 to 20 ms; a
// queue that is older has been worked off or has grown by what other instances sent meanwhile.
const loadFreshness = 100 * time.Millisecond

// statedLoad is the latest load that a server has stated.
type statedLoad struct {
	Load
	at time.Time // when the reply arrived; zero if the server has stated none
}

// fresh reports whether the load may be used.
func (l statedLoad) fresh(now time.Time) bool {
	return !l.at.IsZero() && now.Sub(l.at) < loadFreshness
}

// busyness returns the requests of all instances at the server per slot, and the slowness.
func (l statedLoad) busyness() (load, slowness float64) {
	return float64(l.Running+l.Waiting) / float64(max(l.Slots, 1)), l.Slowness
}
