package forward

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/crashguard"
	"github.com/sycamorelift/sycamorelift/pkg/suspects"
)

// crashSuspicion connects one request with what all instances know of requests that crash
// servers. Its methods are safe for concurrent use.
type crashSuspicion struct {
	engine      *Engine
	fingerprint uint64
	answered    atomic.Bool // a server has answered the request, so it does not crash servers
	lost        atomic.Bool // a connection was lost under this request, here or at a relay
	ended       atomic.Bool // the caller has its answer
}

func newCrashSuspicion(e *Engine, request *Request) *crashSuspicion {
	return &crashSuspicion{
		engine:      e,
		fingerprint: crashguard.FingerprintWithBody(request.Body, request.Host, request.Method, request.Target),
	}
}

func (c *crashSuspicion) verdict(now time.Time) suspects.Verdict {
	if c.answered.Load() {
		return suspects.Verdict{}
	}
	return c.engine.suspects.Verdict(c.fingerprint, now)
}

// suspect returns what is known of the request if it is suspected, or nil.
func (c *crashSuspicion) suspect(now time.Time) *suspects.Suspect {
	if s, ok := c.engine.suspects.Suspect(c.fingerprint, now); ok {
		return &s
	}
	return nil
}

// record takes in the result of an attempt that has ended.
func (c *crashSuspicion) record(res *attemptResult, now time.Time) {
	switch {
	case res.reply != nil && res.reply.Misdirected: // another server has the address
	case res.reply != nil:
		c.engine.suspects.RecordAlive(res.server.Key(), res.started)
		if res.reply.success() {
			c.recordReply(now)
		}
	case res.err.ConnectionLost && !c.answered.Load():
		c.lost.Store(true)
		c.engine.suspects.RecordLoss(c.fingerprint, suspects.Loss{Server: res.server.Key(), Began: res.started, Ended: now})
		if c.ended.Load() {
			c.report(now)
		}
	}
}

// merge takes in what a relay of the request knows.
func (c *crashSuspicion) merge(reported suspects.Suspect) {
	if !c.answered.Load() {
		c.lost.Store(true)
		c.engine.suspects.Merge(reported)
	}
}

// recordReply clears the request, which a server has answered.
func (c *crashSuspicion) recordReply(now time.Time) {
	if !c.answered.Swap(true) {
		c.engine.suspects.RecordReply(c.fingerprint, now)
	}
}

// requestEnded tells the other instances if the request ends under suspicion and has added to
// it: its caller may repeat it at any of them. A relay leaves that to the instance that has the
// caller, which knows whether other shards have answered.
func (c *crashSuspicion) requestEnded() {
	c.ended.Store(true)
	c.report(time.Now())
}

func (c *crashSuspicion) report(now time.Time) {
	if !c.lost.Load() {
		return
	}
	if s := c.suspect(now); s != nil {
		c.engine.onSuspect(*s)
	}
}

// mustProbe reports whether an attempt has to wait for the outcome of another one. A
// sharded request that is suspected asks one server at a time, until a reply clears it.
func (r *activeRequest) mustProbe(s *shardRequest, now time.Time) bool {
	if !r.route.Sharded() || !r.crashes.verdict(now).Suspected() {
		return false
	}
	for _, other := range r.shardRequests {
		if other.inFlight > 0 {
			if !s.waiting {
				r.traceEvent(s, AttemptEvent{Event: "waits, the request may crash servers"})
			}
			return true
		}
	}
	return false
}

// refuseCrashSuspect refuses a request in quarantine.
func (r *activeRequest) refuseCrashSuspect(verdict suspects.Verdict, now time.Time) *Answer {
	answer := r.refuse(CrashSuspect, fmt.Sprintf("%d backend servers in a row were lost while they ran request %s",
		verdict.Losses, crashguard.FormatFingerprint(r.crashes.fingerprint)))
	answer.Refusal.RetryAfter = verdict.RetryAfter(now)
	return answer
}
