package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/crashguard"
	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/suspects"
)

// crashSuspicion connects one request with what all instances know of requests that crash
// servers. Its methods are safe for concurrent use.
type crashSuspicion struct {
	engine      *Engine
	fingerprint uint64
	sharded     bool
	servesPeer  bool        // the caller is at another instance, which knows whether the request was answered
	answered    atomic.Bool // a server has answered the request, so it does not crash servers
	gotReply    atomic.Bool // a reply has gone out whose end may be that of its server
	lost        atomic.Bool // a connection was lost under this request, here or at a relay
	ended       atomic.Bool // the caller has its answer, or the sender its result
	// reportDue is set when the losses are to be reported after the last attempt has ended.
	reportDue atomic.Bool
	settled   atomic.Bool // the last attempt has ended

	mu          sync.Mutex
	lostServers []*directory.Server // lost here under this request, not at relays

	// probes counts the attempts that began under suspicion and that a server may have run. Only
	// the goroutine of the request uses it.
	probes int
	// probeFrom is when a request in quarantine may begin to ask further servers; zero until it
	// is drawn. Only the goroutine of the request uses it.
	probeFrom time.Time
}

const (
	// maxProbes is the number of further servers that a sharded request in progress asks, one
	// at a time, after it has become suspected. The loss of all its parts at once may be due to
	// another request, and one reply clears it.
	maxProbes = suspects.MaxLosses - 1
	// probeTime is how long after a request was quarantined its attempts may still begin. It is
	// well below the 4 s after which a crashing request may reach three more servers only.
	probeTime = time.Second

	// maxProbeDelay bounds the random time that a request in quarantine waits before it asks a
	// further server.
	maxProbeDelay = 80 * time.Millisecond

	// maxHoldBack and holdBackShare bound how long a request that is not sharded is held back
	// when one more loss would quarantine it: the share is one of the route's target. A caller
	// may repeat it at several instances at the same moment, and a loss at one of them is known
	// at the others after the time until the server crashes and some milliseconds.
	maxHoldBack   = 300 * time.Millisecond
	holdBackShare = 0.25
)

func newCrashSuspicion(e *Engine, request *Request, sharded bool) *crashSuspicion {
	return &crashSuspicion{
		engine:      e,
		sharded:     sharded,
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

// holdBack delays a request that one more loss would quarantine for a random time, so that
// copies of it at several instances do not all begin before the first of them is lost. Sharded
// requests are not delayed: under suspicion they ask one server at a time.
func (r *activeRequest) holdBack(ctx context.Context) {
	if r.route.Sharded() || r.crashes.verdict(time.Now()).Losses != suspects.MaxLosses-1 {
		return
	}
	longest := min(maxHoldBack, time.Duration(holdBackShare*float64(r.route.TargetLatency)))
	if longest <= 0 {
		return
	}
	select {
	case <-time.After(rand.N(longest)):
	case <-ctx.Done():
	}
	for _, s := range r.shardRequests {
		s.servers = r.usableServers(s.service)
	}
}

// leaveToSender ends the request at a relay, whose sender has the final result. Losses that
// follow are reported from here.
func (c *crashSuspicion) leaveToSender() { c.ended.Store(true) }

// mayProbe reports whether the request in progress may ask one more server although it is
// suspected. A request in quarantine that is not sharded may not, and a relay leaves it to its
// sender, which knows of the losses at all relays.
func (r *activeRequest) mayProbe(verdict suspects.Verdict, now time.Time) bool {
	if !verdict.Quarantined() {
		return true
	}
	return !r.isBarred(verdict, now) && !r.servesPeer && r.crashes.probes < maxProbes
}

// mayProbeNow reports whether a random delay has passed since a request was quarantined with all its
// parts lost. Requests that have lost their servers together would otherwise ask further servers at
// the same moment, and a crashing one among them would take these down under the others.
func (r *activeRequest) mayProbeNow(now time.Time) bool {
	if r.crashes.probeFrom.IsZero() {
		r.crashes.probeFrom = now.Add(rand.N(maxProbeDelay))
	}
	return !now.Before(r.crashes.probeFrom)
}

// uncountProbe takes back an attempt that no server has run: a server that a crashing request
// has taken down refuses the connection. Such an attempt runs alone, so that the result of
// another one cannot be taken for its own.
func (c *crashSuspicion) uncountProbe() { c.probes = max(c.probes-1, 0) }

// isBarred reports whether the request may not reach any further server, also not with
// attempts that wait for a connection. Those of a sharded request may be sent for probeTime,
// since a reply to one of them clears it.
func (r *activeRequest) isBarred(verdict suspects.Verdict, now time.Time) bool {
	return verdict.Quarantined() && (!r.route.Sharded() || !now.Before(verdict.Since.Add(probeTime)))
}

// mustProbe reports whether an attempt has to wait for the outcome of another one. A
// sharded request that is suspected asks one server at a time, until a reply clears it. One
// in quarantine is given up only when none of its attempts is left that may still clear it.
func (r *activeRequest) mustProbe(s *shardRequest, verdict suspects.Verdict) bool {
	if !r.route.Sharded() || !verdict.Suspected() {
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
	answer := r.refuse(CrashSuspect, fmt.Sprintf("%d backend servers were lost while they ran request %s",
		verdict.Losses, crashguard.FormatFingerprint(r.crashes.fingerprint)))
	answer.Refusal.RetryAfter = verdict.RetryAfter(now)
	return answer
}
