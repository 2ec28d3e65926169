package forward

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

// run is one request on its way. All fields but pending are used by the
// request's goroutine alone.
type run struct {
	engine  *Engine
	table   *routing.Table
	route   *routing.Route
	request *Request
	timing  timing
	legs    []*leg
	trace   Trace

	ctx     context.Context // of the attempts
	cancel  context.CancelFunc
	pending atomic.Int32 // the request itself and its running attempts
	results chan result  // has room for all attempts, so that none waits

	have int // legs with a reply
	lost int
}

func newRun(e *Engine, table *routing.Table, route *routing.Route, request *Request) *run {
	services := e.services(route)
	r := &run{
		engine:  e,
		table:   table,
		route:   route,
		request: request,
		timing:  newTiming(route, request, e.usual(route)),
		legs:    make([]*leg, len(services)),
	}
	capacity := 0
	now := time.Now()
	for i, service := range services {
		e.budget.Request(service, now)
		servers := e.directory.Servers(service)
		r.legs[i] = &leg{index: i, service: service, servers: servers}
		capacity += len(servers)
	}
	if route.Sharded() {
		r.trace.Shards = len(services)
	} else {
		r.trace.Service = services[0]
	}
	r.results = make(chan result, capacity)
	// Attempts outlive the answer: one that lost against a hedge ends normally,
	// which keeps its connection and shows how long the server took.
	r.ctx, r.cancel = context.WithDeadline(context.Background(), r.timing.deadline)
	r.pending.Store(1)
	return r
}

// release ends the context of the attempts when neither the request nor an
// attempt needs it.
func (r *run) release() {
	if r.pending.Add(-1) == 0 {
		r.cancel()
	}
}

// answer waits for the end of the request.
func (r *run) answer(ctx context.Context) *Answer {
	for _, l := range r.legs {
		if !r.launch(l, first) {
			r.lose(l)
		}
	}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	defer r.settle()
	for {
		now := time.Now()
		if answer := r.verdict(now); answer != nil {
			answer.Trace = r.finishTrace()
			return answer
		}
		timer.Reset(r.nextEvent(now).Sub(now))
		select {
		case res := <-r.results:
			r.absorb(res)
			r.absorbReady()
		case <-timer.C:
		case <-ctx.Done():
			r.cancel()
			return &Answer{Refusal: &Refusal{Reason: CallerLeft}, Trace: r.finishTrace()}
		}
		r.hedge(time.Now())
	}
}

// settle lets the attempts that are not sent yet end: the answer is decided.
func (r *run) settle() {
	for _, l := range r.legs {
		l.settled.Store(true)
	}
}

// absorbReady takes the results that have arrived meanwhile, so that one look at
// the legs serves all of them.
func (r *run) absorbReady() {
	for {
		select {
		case res := <-r.results:
			r.absorb(res)
		default:
			return
		}
	}
}

// nextEvent is the next moment at which time alone changes something.
func (r *run) nextEvent(now time.Time) time.Time {
	next := r.timing.deadline
	if r.route.Sharded() && now.Before(r.timing.cutoff) && r.timing.cutoff.Before(next) {
		next = r.timing.cutoff
	}
	if !r.route.Repeatable {
		return next
	}
	for _, l := range r.legs {
		if l.decided() || l.hedged {
			continue
		}
		if due := l.last.Add(r.timing.hedge); due.Before(next) {
			next = due
		}
	}
	return next
}

func (r *run) lose(l *leg) {
	l.lost = true
	r.lost++
}

func (r *run) finishTrace() Trace {
	r.trace.Parts = r.have
	for _, l := range r.legs {
		if l.reply == nil {
			r.trace.Missing = append(r.trace.Missing, l.service)
		}
	}
	return r.trace
}
