package forward

import "time"

// maxTraceEvents limits the events in the trace of one request.
const maxTraceEvents = 12

// Trace describes how an answer came about, for logs.
type Trace struct {
	Service       string   // chosen by weight; empty for a sharded route
	Shards        int      // of the route
	Parts         int      // shards that have replied
	Missing       []string // services of the shards that have not replied
	Attempts      int      // requests that were sent to backend servers
	Hedges        int      // attempts made because a server was slow
	Retries       int      // attempts made because a server failed or refused
	Relayed       int      // shards that were requested from another instance
	LeftOut       int      // hedges and parts that were not asked for because capacity was short
	Denied        int      // hedges and retries that the budget did not allow
	Events        []AttemptEvent
	DroppedEvents int // events beyond maxTraceEvents
	Stages        Stages
}

// AttemptEvent is an event of a request that delayed its answer: an attempt that failed, was
// late or was not made, or a hedge.
type AttemptEvent struct {
	Service string        `json:"service"`
	Server  string        `json:"server,omitempty"`
	Event   string        `json:"event"`
	After   time.Duration `json:"after_ns"` // since the request arrived
	Took    time.Duration `json:"took_ns,omitempty"`
	Detail  string        `json:"detail,omitempty"`
}

func (t *Trace) add(event AttemptEvent) {
	if len(t.Events) >= maxTraceEvents {
		t.DroppedEvents++
		return
	}
	t.Events = append(t.Events, event)
}
