package forward

import (
	"errors"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/replicas"
)

// purpose is why an attempt is made.
type purpose int

const (
	first purpose = iota
	hedge         // the attempt before is slow
	retry         // the attempt before failed
)

// result is the end of an attempt.
type result struct {
	leg    int
	server *directory.Server
	began  time.Time
	reply  *Reply
	err    *CallError // when reply is nil
}

// launch starts an attempt and reports whether it did.
func (r *run) launch(l *leg, why purpose) bool {
	now := time.Now()
	if !r.mayLaunch(l, why, now) {
		return false
	}
	choice, ok := r.choose(l, now)
	if !ok || why == hedge && (choice.Paused || choice.Ejected) {
		return false
	}
	if l.arrivals > 0 {
		if !r.engine.budget.Spend(l.service, now) {
			r.trace.Denied++
			r.trouble(l, Trouble{Event: "extra attempt denied by the budget"})
			return false
		}
		l.extras++
	}
	r.begin(l, choice.Server, now)
	switch why {
	case hedge:
		r.trace.Hedges++
		r.trouble(l, Trouble{Server: choice.Server.ID, Event: "hedged"})
	case retry:
		r.trace.Retries++
	}
	return true
}

func (r *run) mayLaunch(l *leg, why purpose, now time.Time) bool {
	if !now.Before(r.timing.deadline) || l.arrivals >= max(r.route.MaxAttempts, 1) {
		return false
	}
	return why == first || r.route.Repeatable || !l.mayRun && l.running == 0
}

// choose prefers servers that stay over those that leave.
func (r *run) choose(l *leg, now time.Time) (replicas.Choice, bool) {
	choice, ok := r.engine.tracker.Choose(l.servers, l.wasTried, now)
	if ok {
		return choice, true
	}
	return r.engine.tracker.Choose(r.engine.directory.LastResort(l.service), l.wasTried, now)
}

func (r *run) begin(l *leg, server *directory.Server, now time.Time) {
	l.tried = append(l.tried, server.ID)
	l.arrivals++
	l.running++
	l.last = now
	r.trace.Attempts++
	r.pending.Add(1)
	call := Call{
		Request:     r.request,
		Server:      server,
		Connections: r.engine.connections(r.table, l.service),
		Fresh:       !r.route.Repeatable,
		Needed:      func() bool { return !l.settled.Load() },
	}
	observed := r.engine.tracker.Begin(server, r.route.Name, now)
	go r.attempt(l.index, call, observed, now)
}

// attempt runs in its own goroutine, also after the request has its answer.
func (r *run) attempt(index int, call Call, observed *replicas.Attempt, began time.Time) {
	defer r.release()
	reply, err := r.engine.caller.Call(r.ctx, call)
	res := result{leg: index, server: call.Server, began: began, reply: reply}
	if err != nil && !errors.As(err, &res.err) {
		res.err = &CallError{Sent: true, Detail: "call failed", Cause: err}
	}
	observed.End(outcomeOf(reply, r.ctx.Err()), time.Now())
	r.results <- res
}

func outcomeOf(reply *Reply, ended error) replicas.Outcome {
	switch {
	case reply != nil && reply.NotRun:
		return replicas.Refused
	case reply != nil && reply.Status < 500:
		return replicas.Answered
	case reply == nil && ended != nil:
		return replicas.Abandoned
	default:
		return replicas.Failed
	}
}

// hedge starts second attempts where the first ones are slow.
func (r *run) hedge(now time.Time) {
	if !r.route.Repeatable {
		return
	}
	for _, l := range r.legs {
		if l.decided() || l.hedged || now.Before(l.last.Add(r.timing.hedge)) {
			continue
		}
		l.hedged = true
		r.launch(l, hedge)
	}
}

func (r *run) trouble(l *leg, t Trouble) {
	t.Service = l.service
	t.After = time.Since(r.request.Arrived)
	r.trace.add(t)
}
