package forward

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

// groupEventsPerLeg bounds the events of groups: each leg is in at most one first
// group and one hedge, and each has its acceptance, one result a leg and its end.
const groupEventsPerLeg = 6

// waitStep is the interval at which attempts that wait for room at a server are
// looked at; it is short against the time that a server takes.
const waitStep = 10 * time.Millisecond

// run is one request on its way. All fields but pending are used by the
// request's goroutine alone.
type run struct {
	engine *Engine
	route  *routing.Route
	// maxConnections is the number of connections that a server of a service
	// accepts from all instances.
	maxConnections func(service string) int
	// weak is set when this instance hands the shards of its zone to a stronger one.
	// It reads acceptances late and could not ask the servers itself in time.
	weak    bool
	relayed bool // on behalf of another instance; nothing is relayed again at first
	paid    bool // each attempt is beyond the first and paid for by the sender
	request *Request
	timing  timing
	legs    []*leg
	trace   Trace

	ctx     context.Context // of the attempts
	cancel  context.CancelFunc
	pending atomic.Int32 // the request itself and its running attempts
	results chan result  // has room for all usual attempts

	unsent      []*group
	groups      []*group
	groupEvents chan groupEvent // has room for all usual events
	merged      [][]byte        // bodies of the groups' parts
	relayZone   string          // for legs without a server in this zone

	wakeAt time.Time // when the run is to be looked at in any case; zero is never

	missable  float64 // share of shards that an answer may lack
	lateNoted bool    // the shards that are late have been counted

	have int // legs with a reply
	lost int
}

func newRun(e *Engine, route *routing.Route, request *Request, maxConnections func(string) int) *run {
	services := e.services(route)
	r := &run{
		engine:         e,
		route:          route,
		maxConnections: maxConnections,
		request:        request,
		timing:         newTiming(route, request, e.usual(route)),
		legs:           make([]*leg, len(services)),
	}
	servers := 0
	for i, service := range services {
		usable := e.directory.Servers(service)
		r.legs[i] = &leg{index: i, service: service, servers: usable}
		servers += len(usable)
	}
	if route.Sharded() {
		r.trace.Shards = len(services)
		r.missable = 1 - float64(route.RequiredShards())/float64(len(services))
		e.ranks.note(route.Priority, request.Arrived)
	} else {
		r.trace.Service = services[0]
	}
	r.results = make(chan result, servers)
	r.groupEvents = make(chan groupEvent, groupEventsPerLeg*len(services))
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
	defer r.settle()
	if refused := r.refuseHopeless(time.Now()); refused != nil {
		refused.Trace = r.finishTrace()
		return refused
	}
	var answer *Answer
	done := func(now time.Time) bool {
		answer = r.verdict(now)
		return answer != nil
	}
	if !r.loop(ctx, done) {
		answer = &Answer{Refusal: &Refusal{Reason: CallerLeft}}
	}
	answer.Trace = r.finishTrace()
	return answer
}

// loop starts the first attempts and follows them until done, which is asked
// after each event. It returns false when ctx ends before; all attempts then end.
func (r *run) loop(ctx context.Context, done func(now time.Time) bool) bool {
	if ctx.Err() != nil {
		// A relay that was late to accept must not start what was given up.
		r.cancel()
		return false
	}
	if r.route.Sharded() {
		r.engine.running.Add(1)
		defer r.engine.running.Add(-1)
	}
	for _, l := range r.legs {
		if !r.launch(l, first) {
			r.lose(l)
		}
	}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		r.sendGroups()
		now := time.Now()
		r.noteLateness(now)
		if done(now) {
			r.noteLateness(r.timing.cutoff)
			return true
		}
		timer.Reset(r.nextEvent(now).Sub(now))
		select {
		case res := <-r.results:
			r.absorb(res)
		case e := <-r.groupEvents:
			r.absorbGroup(e)
		case <-timer.C:
		case <-ctx.Done():
			r.cancel()
			return false
		}
		if ctx.Err() != nil {
			// Several events at once come in no order; nothing new is started after the
			// caller has left.
			r.cancel()
			return false
		}
		r.absorbReady()
		now = time.Now()
		r.giveUpGroups(now)
		r.resume(now)
		r.hedge(now)
	}
}

// noteLateness counts the shards without a reply when the answer is due.
func (r *run) noteLateness(now time.Time) {
	if r.lateNoted || r.paid || !r.route.Sharded() || now.Before(r.timing.cutoff) {
		return
	}
	r.lateNoted = true
	late := 1 - float64(r.have)/float64(len(r.legs))
	if change := r.engine.lateness.note(r.route.Name, late, r.missable, now); change != nil {
		r.engine.observe(*change)
	}
}

// settle lets the attempts that are not sent yet end: the answer is decided.
func (r *run) settle() {
	for _, l := range r.legs {
		l.settled.Store(true)
	}
}

// absorbReady takes what has arrived meanwhile, so that nothing is given up or hedged
// whose reply is there, and one look at the legs serves all results.
func (r *run) absorbReady() {
	for {
		select {
		case res := <-r.results:
			r.absorb(res)
		case e := <-r.groupEvents:
			r.absorbGroup(e)
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
	if now.Before(r.wakeAt) && r.wakeAt.Before(next) {
		next = r.wakeAt
	}
	if !r.route.Repeatable {
		return next
	}
	for _, g := range r.groups {
		if due := r.acceptBy(g); !g.ended && !g.accepted && due.Before(next) {
			next = due
		}
	}
	for _, l := range r.legs {
		if l.waits && now.Add(waitStep).Before(next) {
			next = now.Add(waitStep)
		}
		if l.decided() || l.hedged || l.waits {
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
