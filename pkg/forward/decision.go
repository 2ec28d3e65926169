package forward

import (
	"fmt"
	"slices"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/gather"
)

const (
	// refusedRetryAfter is the pause after all servers asked were at capacity: about the
	// time in which a server works off a full queue.
	refusedRetryAfter = 150 * time.Millisecond
	// noServerRetryAfter is the pause when no server is usable. Crashed servers are back
	// after some seconds, but other instances may know a usable server earlier.
	noServerRetryAfter = 400 * time.Millisecond
	// ShutdownRetryAfter is the pause when this instance shuts down. It is short, since new
	// connections already reach other instances.
	ShutdownRetryAfter = 50 * time.Millisecond
)

// decideAnswer returns the answer once waiting any longer is not worthwhile, and nil
// before that.
func (r *activeRequest) decideAnswer(now time.Time) *Answer {
	if r.route.Sharded() {
		return r.decideShardedAnswer(now)
	}
	s := r.shardRequests[0]
	switch {
	case s.reply != nil:
		return &Answer{Reply: s.reply}
	case s.lost && s.failure != nil:
		return &Answer{Reply: s.failure}
	case !now.Before(r.timing.deadline):
		// The attempts end at the deadline too, either before or after this check.
		return r.refuse(TimedOut, "")
	case s.lost:
		return r.refuse(r.lossReason(), "")
	}
	return nil
}

func (r *activeRequest) decideShardedAnswer(now time.Time) *Answer {
	total := len(r.shardRequests)
	required := r.route.RequiredShards()
	enough := r.answeredShards >= required
	ended := !now.Before(r.timing.deadline)
	switch {
	case r.answeredShards == total, enough && r.answeredShards+r.lostShards == total, enough && !now.Before(r.timing.cutoff):
		return &Answer{Merged: r.merge()}
	case total-r.lostShards < required:
		return r.refuse(r.lossReason(), fmt.Sprintf("%d of %d shards lost, %d required", r.lostShards, total, required))
	case ended:
		return r.refuse(TimedOut, fmt.Sprintf("%d of %d shards, %d required", r.answeredShards, total, required))
	}
	return nil
}

func (r *activeRequest) merge() *Merged {
	began := time.Now()
	m := &Merged{Missing: len(r.shardRequests) - r.answeredShards}
	bodies := slices.Clone(r.mergedBodies)
	for _, s := range r.shardRequests {
		if s.reply == nil {
			continue
		}
		m.Proofs = append(m.Proofs, s.reply.Proof)
		bodies = append(bodies, s.reply.Body)
	}
	m.Body = gather.Merge(bodies, r.route.TopK)
	r.trace.Stages.Merge = time.Since(began)
	return m
}

// lossReason returns why no server has answered the lost shard requests.
func (r *activeRequest) lossReason() Reason {
	asked, mayHaveRun, inFlight := false, false, false
	for _, s := range r.shardRequests {
		inFlight = inFlight || s.inFlight > 0
		asked = asked || s.lost && s.arrivals > 0
		mayHaveRun = mayHaveRun || s.lost && s.mayHaveRun
	}
	switch {
	case !inFlight && r.crashes.verdict(time.Now()).Quarantined():
		return CrashSuspect
	case r.route.Sharded() && asked:
		return TooFewShards
	case mayHaveRun:
		return AnswerLost
	case asked:
		return ServersRefused
	default:
		return NoServer
	}
}

// refuseIfUnanswerable refuses a request before anything is sent if its caller's time is
// over, if it is sharded and too many shards have no server that answers, or if the rate limits
// of too many servers delay it too long. Servers that failed are tried again when their ejection
// ends.
func (r *activeRequest) refuseIfUnanswerable(now time.Time) *Answer {
	if left := r.timing.deadline.Sub(now); left <= 0 {
		return r.refuse(TimedOut, "no time is left for an attempt")
	}
	if verdict := r.crashes.verdict(now); verdict.Quarantined() {
		return r.refuseCrashSuspect(verdict, now)
	}
	unavailable := 0
	var waits []time.Duration   // for capacity of the shards that have none in time
	var limited []time.Duration // how much longer than allowed the rate limits of shards delay
	for _, s := range r.shardRequests {
		choice, ok := r.choose(s, first, now)
		switch {
		case r.route.Sharded() && (!ok || choice.Ejected):
			unavailable++
		case ok && choice.RateDelay > r.maxRateDelay(now) && !r.isRelayed(s, choice.Server, first):
			limited = append(limited, choice.RateDelay-r.maxRateDelay(now))
		case ok && r.route.Sharded():
			if d, full := r.demand(s, choice, now); full && r.engine.refuseInOverload && d.TooLate() {
				waits = append(waits, d.Wait())
			}
		}
	}
	total, required := len(r.shardRequests), 1
	if r.route.Sharded() {
		required = r.route.RequiredShards()
	}
	missing := unavailable + len(limited) - (total - required) // shards that are too few
	switch {
	case missing <= 0 && missing+len(waits) > 0:
		return r.refuseWithoutCapacity(waits, -missing)
	case missing <= 0:
		return r.refuseIfNotAdmitted(now)
	case missing <= len(limited):
		slices.Sort(limited)
		return r.refuseRateLimited(limited[missing-1], fmt.Sprintf("the rate limits of the servers of %d of %d shards are used up, %d required", len(limited), total, required))
	default:
		return r.refuse(NoServer, fmt.Sprintf("%d of %d shards without a server that answers, %d required", unavailable, total, required))
	}
}

// refuseRateLimited refuses a request whose servers accept it in time only after a pause.
// Another instance may have more of the limit left, so the pause is not longer than that of a
// request without a server.
func (r *activeRequest) refuseRateLimited(pause time.Duration, detail string) *Answer {
	return r.refuseUntil(RateLimited, pause, detail)
}

// refuse returns an answer that refuses the request. It states that the request has not
// run only if no attempt has reached a server that may have run it or may still run it.
func (r *activeRequest) refuse(reason Reason, detail string) *Answer {
	refusal := &Refusal{Reason: reason, NotRun: true, Detail: detail}
	for _, s := range r.shardRequests {
		if s.mayHaveReachedServer() {
			refusal.NotRun = false
		}
	}
	if refusal.NotRun && reason != TimedOut {
		pause := noServerRetryAfter
		switch reason {
		case ServersRefused:
			pause = refusedRetryAfter
		case ShuttingDown:
			pause = ShutdownRetryAfter
		}
		refusal.RetryAfter = r.retryAfter(pause)
	}
	return &Answer{Refusal: refusal}
}
