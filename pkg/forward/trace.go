package forward

import "time"

// maxTroubles bounds the trace of one request.
const maxTroubles = 12

// Trace is what led to an answer, for logs.
type Trace struct {
	Service  string   // chosen by weight; empty for a sharded route
	Shards   int      // of the route
	Parts    int      // shards that are in
	Missing  []string // services of the shards that are not in
	Attempts int      // requests that were sent to backend servers
	Hedges   int      // of them because a server was slow
	Retries  int      // of them because a server failed or refused
	Relayed  int      // shards that were asked for at another instance
	Denied   int      // hedges and retries that the budget did not allow
	Troubles []Trouble
	Dropped  int // troubles beyond maxTroubles
}

// Trouble is an attempt that did not help, or one that was not made.
type Trouble struct {
	Service string        `json:"service"`
	Server  string        `json:"server,omitempty"`
	Event   string        `json:"event"`
	After   time.Duration `json:"after_ns"` // since the request arrived
	Took    time.Duration `json:"took_ns,omitempty"`
	Detail  string        `json:"detail,omitempty"`
}

func (t *Trace) add(trouble Trouble) {
	if len(t.Troubles) >= maxTroubles {
		t.Dropped++
		return
	}
	t.Troubles = append(t.Troubles, trouble)
}
