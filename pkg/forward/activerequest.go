package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/lifecycle"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
	"github.com/sycamorelift/sycamorelift/pkg/shedding"
)

// relayEventsPerShard bounds the relay events of one shard request. A shard request is in
// at most one relay call for its first attempt and one for its hedge, and each call causes
// an acceptance, one result per shard and an end.
const relayEventsPerShard = 6

// capacityPollInterval is how often a request checks whether a server has capacity for an
// attempt that waits for it. It is short compared with the time that a server takes.
const capacityPollInterval = 10 * time.Millisecond

// activeRequest is the state of one request while it is being forwarded. Attempts and relay
// calls run in goroutines of their own; these use only refCount, the channels and fields
// that do not change. Only the goroutine of the request uses the other fields.
type activeRequest struct {
	engine *Engine
	route  *routing.Route
	// maxConnections is the number of connections that a server of a service
	// accepts from all instances.
	maxConnections func(service string) int
	// usesStrongerRelay is set when this instance hands first attempts to an instance with
	// much more processor time. This instance then reads acceptances late and could not ask
	// the servers itself in time, so it keeps its relays until the cutoff.
	usesStrongerRelay bool
	servesPeer        bool // this instance is the relay; it does not relay first attempts again
	chargedBySender   bool // every attempt is an extra one, which the sending instance has charged to its budget
	request           *Request
	allowedZones      []string // zones whose servers may get the request; nil means all
	crashes           *crashSuspicion
	timing            timing
	shardRequests     []*shardRequest
	trace             Trace
	stages            stageClock

	ctx      context.Context // of the attempts
	cancel   context.CancelFunc
	replies  *shedding.Lease    // of the replies that the request holds
	refCount atomic.Int32       // the request itself, its running attempts and its relay calls
	results  chan attemptResult // buffered for one attempt at each server listed at the start

	unsentCalls  []*relayCall
	relayCalls   []*relayCall
	relayEvents  chan relayEvent // buffered for relayEventsPerShard events of each shard
	mergedBodies [][]byte        // merged parts that relays have sent
	relayZone    string          // zone whose relay gets the shards without a server in this zone

	// zoneDraw decides with the share of a service whether its first attempt leaves this
	// zone. It is the same for all shards, so that those which leave share a message.
	zoneDraw float64
	wake     chan struct{} // gets a value when a waiting attempt may have capacity
	returned bool          // the request came back after a refusal

	wakeAt time.Time // time at which loop wakes up even without an event; zero means never

	maxMissingShare  float64 // share of shards that an answer may lack, 0 to 1
	latenessRecorded bool    // this request's late shards have been counted

	answeredShards int // shard requests with a reply
	lostShards     int
}

func newActiveRequest(e *Engine, route *routing.Route, request *Request, maxConnections func(string) int) *activeRequest {
	services := e.services(route)
	r := &activeRequest{
		engine:         e,
		route:          route,
		maxConnections: maxConnections,
		request:        request,
		crashes:        newCrashSuspicion(e, request, route.Sharded()),
		timing:         newTiming(route, request, e.latencyEstimate(route), e.ownWork),
		shardRequests:  make([]*shardRequest, len(services)),
		zoneDraw:       e.tracker.DrawZone(route.Name),
		allowedZones:   e.allowedZones(route),
	}
	servers := 0
	for i, service := range services {
		usable := r.usableServers(service)
		r.shardRequests[i] = &shardRequest{index: i, service: service, servers: usable, returnDraw: rand.Float64()}
		servers += len(usable)
	}
	if route.Sharded() {
		r.trace.Shards = len(services)
		r.maxMissingShare = 1 - float64(route.RequiredShards())/float64(len(services))
		e.shedding.Classes.Record(route.Priority, request.Arrived)
	} else {
		r.trace.Service = services[0]
	}
	r.results = make(chan attemptResult, servers)
	r.wake = make(chan struct{}, 1)
	r.relayEvents = make(chan relayEvent, relayEventsPerShard*len(services))
	// Attempts continue after the answer: one that was slower than its hedge ends
	// normally, which keeps its connection usable and measures the server's reply time.
	r.ctx, r.cancel = context.WithDeadline(context.Background(), r.timing.deadline)
	r.refCount.Store(1)
	r.replies = e.replies.Lease(route.Priority <= 0)
	return r
}

// release drops one reference. Once neither the request nor an attempt is left, it makes the
// report of losses that is due and cancels the context of the attempts.
func (r *activeRequest) release() {
	if r.refCount.Add(-1) == 0 {
		r.crashes.attemptsEnded()
		r.cancel()
		r.replies.Release()
	}
}

// waitForAnswer forwards the request and returns its answer.
func (r *activeRequest) waitForAnswer(ctx context.Context) *Answer {
	defer r.markNoLongerNeeded()
	defer r.requestEnded()
	r.holdBack(ctx)
	if refused := r.refuseIfUnanswerable(time.Now()); refused != nil {
		refused.Trace = r.finishTrace()
		return refused
	}
	var answer *Answer
	done := func(now time.Time) bool {
		if answer = r.decideAnswer(now); answer != nil {
			r.recordMissingParts(now)
		}
		return answer != nil
	}
	switch {
	case r.loop(ctx, done):
	case errors.Is(context.Cause(ctx), lifecycle.ErrInterrupted):
		answer = r.refuse(ShuttingDown, "")
	default:
		answer = &Answer{Refusal: &Refusal{Reason: CallerLeft}}
	}
	answer.Trace = r.finishTrace()
	return answer
}

// loop starts the first attempts and handles events until done, which it calls after
// each of them, returns true. If ctx ends first, loop cancels all attempts and returns
// false.
func (r *activeRequest) loop(ctx context.Context, done func(now time.Time) bool) bool {
	if ctx.Err() != nil {
		// The sender has already given up this relay's call; the relay must not start it.
		r.cancel()
		return false
	}
	if r.route.Sharded() {
		r.engine.shardedInProgress.Add(1)
		defer r.engine.shardedInProgress.Add(-1)
	}
	r.stages.began = time.Now()
	for _, s := range r.shardRequests {
		if !r.launch(s, first) {
			r.markLost(s)
		}
	}
	r.stages.fannedOut = time.Now()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		r.sendRelayCalls()
		now := time.Now()
		r.recordLateness(now)
		if done(now) {
			r.recordLateness(r.timing.cutoff)
			return true
		}
		wakeup := r.nextWakeup(now)
		timer.Reset(wakeup.Sub(now))
		select {
		case res := <-r.results:
			if ctx.Err() == nil {
				r.handleResult(res)
			}
		case e := <-r.relayEvents:
			if ctx.Err() == nil {
				r.handleRelayEvent(e)
			}
		case <-timer.C:
			fired := time.Now()
			r.engine.shedding.Shortage.RecordTimer(fired.Sub(wakeup), fired)
		case <-r.wake:
		case <-ctx.Done():
			r.cancel()
			return false
		}
		if ctx.Err() != nil {
			// select picks at random among events that are ready. Nothing new may start
			// after the caller has left, also not because of the event that was picked.
			r.cancel()
			return false
		}
		r.handleReadyEvents()
		now = time.Now()
		r.abandonUnacceptedCalls(now)
		r.resumeWaiting(now)
		r.startHedges(now)
	}
}

// recordLateness records the share of shards without a reply at the cutoff, once for
// each request.
func (r *activeRequest) recordLateness(now time.Time) {
	if r.latenessRecorded || r.chargedBySender || !r.route.Sharded() || now.Before(r.timing.cutoff) {
		return
	}
	r.latenessRecorded = true
	r.recordShortage(now)
	late := 1 - float64(r.answeredShards)/float64(len(r.shardRequests))
	if change := r.engine.lateness.record(r.route.Name, late, r.maxMissingShare, now); change != nil {
		r.engine.onLatenessChange(*change)
	}
}

// markNoLongerNeeded ends the attempts that still wait for a connection, because the
// answer is decided.
func (r *activeRequest) markNoLongerNeeded() {
	for _, s := range r.shardRequests {
		s.withdrawUnsent()
		r.dropReservation(s, time.Now())
		r.leaveQueue(s, false)
	}
}

// handleReadyEvents handles all events that are ready before the request abandons relay
// calls and starts hedges, so that it does neither for a shard whose reply has arrived.
// One pass over the shard requests then also serves all results.
func (r *activeRequest) handleReadyEvents() {
	for {
		select {
		case res := <-r.results:
			r.handleResult(res)
		case e := <-r.relayEvents:
			r.handleRelayEvent(e)
		default:
			return
		}
	}
}

// nextWakeup returns the next time at which the request has to act without an event.
func (r *activeRequest) nextWakeup(now time.Time) time.Time {
	next := r.timing.deadline
	if r.route.Sharded() && now.Before(r.timing.cutoff) && r.timing.cutoff.Before(next) {
		next = r.timing.cutoff
	}
	if now.Before(r.wakeAt) && r.wakeAt.Before(next) {
		next = r.wakeAt
	}
	if at, waits := r.nextReservation(); waits && at.Before(next) {
		next = at
	}
	if !r.route.Repeatable {
		return next
	}
	for _, rc := range r.relayCalls {
		if due := r.acceptanceDeadline(rc); !rc.ended && !rc.accepted && due.Before(next) {
			next = due
		}
	}
	for _, s := range r.shardRequests {
		if s.waiting && s.reservation == nil && now.Add(capacityPollInterval).Before(next) {
			next = now.Add(capacityPollInterval)
		}
		if s.isComplete() || s.hedgeTried || s.waiting {
			continue
		}
		if due := s.lastStarted.Add(r.timing.hedgeDelay); due.Before(next) {
			next = due
		}
	}
	return next
}

func (r *activeRequest) markLost(s *shardRequest) {
	r.leaveQueue(s, false)
	s.lost = true
	r.lostShards++
}

func (r *activeRequest) finishTrace() Trace {
	r.trace.Parts = r.answeredShards
	r.stages.finish(&r.trace.Stages)
	for _, s := range r.shardRequests {
		if s.reply == nil {
			r.trace.Missing = append(r.trace.Missing, s.service)
		}
	}
	return r.trace
}
