package forward

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/gather"
)

const (
	// refusedRetryAfter is the pause after all servers asked had no room: about
	// the time in which a full queue of a server moves on.
	refusedRetryAfter = 150 * time.Millisecond
	// noServerRetryAfter is the pause when no server is usable; servers that have
	// crashed are back after some seconds, other instances may know one earlier.
	noServerRetryAfter = 400 * time.Millisecond
	// retrySpread is the random part of a pause, so that callers that were refused
	// together do not return together.
	retrySpread = 0.5
)

// verdict returns the answer as soon as waiting can no longer improve it enough,
// nil before.
func (r *run) verdict(now time.Time) *Answer {
	if r.route.Sharded() {
		return r.shardedVerdict(now)
	}
	l := r.legs[0]
	switch {
	case l.reply != nil:
		return &Answer{Reply: l.reply}
	case l.lost && l.failure != nil:
		return &Answer{Reply: l.failure}
	case !now.Before(r.timing.deadline):
		// Attempts end at the deadline as well, in no order with this look.
		return r.refuse(TimedOut, "")
	case l.lost:
		return r.refuse(r.lossReason(), "")
	}
	return nil
}

func (r *run) shardedVerdict(now time.Time) *Answer {
	total := len(r.legs)
	required := r.route.RequiredShards()
	enough := r.have >= required
	ended := !now.Before(r.timing.deadline)
	switch {
	case r.have == total, enough && r.have+r.lost == total, enough && !now.Before(r.timing.cutoff):
		return &Answer{Merged: r.merge()}
	case total-r.lost < required:
		return r.refuse(r.lossReason(), fmt.Sprintf("%d of %d shards lost, %d required", r.lost, total, required))
	case ended:
		return r.refuse(TimedOut, fmt.Sprintf("%d of %d shards, %d required", r.have, total, required))
	}
	return nil
}

func (r *run) merge() *Merged {
	m := &Merged{Missing: len(r.legs) - r.have}
	bodies := slices.Clone(r.merged)
	for _, l := range r.legs {
		if l.reply == nil {
			continue
		}
		m.Proofs = append(m.Proofs, l.reply.Proof)
		bodies = append(bodies, l.reply.Body)
	}
	m.Body = gather.Merge(bodies, r.route.Top)
	return m
}

// lossReason is why no server answers the legs that are lost.
func (r *run) lossReason() Reason {
	asked, mayRun := false, false
	for _, l := range r.legs {
		asked = asked || l.lost && l.arrivals > 0
		mayRun = mayRun || l.lost && l.mayRun
	}
	switch {
	case r.route.Sharded() && asked:
		return TooFewShards
	case mayRun:
		return AnswerLost
	case asked:
		return ServersRefused
	default:
		return NoServer
	}
}

// refuseHopeless refuses a request before anything is sent when its caller's time is
// over, and a sharded one when too many shards have no server that answers. Servers that failed are tried again when
// their ejection ends.
func (r *run) refuseHopeless(now time.Time) *Answer {
	if left := r.timing.deadline.Sub(now); left <= 0 {
		return r.refuse(TimedOut, "no time is left for an attempt")
	}
	if !r.route.Sharded() {
		return nil
	}
	out := 0
	for _, l := range r.legs {
		if choice, ok := r.choose(l, now); !ok || choice.Ejected {
			out++
		}
	}
	required := r.route.RequiredShards()
	if len(r.legs)-out >= required {
		return nil
	}
	return r.refuse(NoServer, fmt.Sprintf("%d of %d shards without a server that answers, %d required", out, len(r.legs), required))
}

// refuse ends the request. It promises that the request has not run only if no
// attempt may have run or still may.
func (r *run) refuse(reason Reason, detail string) *Answer {
	refusal := &Refusal{Reason: reason, NotRun: true, Detail: detail}
	for _, l := range r.legs {
		if l.reply != nil || l.mayRun || l.running > 0 {
			refusal.NotRun = false
		}
	}
	if refusal.NotRun && reason != TimedOut {
		pause := noServerRetryAfter
		if reason == ServersRefused {
			pause = refusedRetryAfter
		}
		refusal.RetryAfter = pause + time.Duration(rand.Float64()*retrySpread*float64(pause))
	}
	return &Answer{Refusal: refusal}
}
