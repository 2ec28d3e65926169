package forward

import (
	"context"
	"errors"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/replicas"
	"github.com/sycamorelift/sycamorelift/pkg/runstate"
)

// attemptResult tells how an attempt ended.
type attemptResult struct {
	shardIndex int
	server     *directory.Server
	runState   *runstate.State
	started    time.Time
	// expired is set when the server has stopped work on a part at the time that the
	// call stated, after which the reply is of no use.
	expired bool
	reply   *Reply
	err     *CallError // set when reply is nil
}

func (r *activeRequest) sendAttempt(s *shardRequest, choice replicas.Choice, now time.Time) {
	server := choice.Server
	s.tried = append(s.tried, server.ID)
	s.arrivals++
	s.inFlight++
	state := &runstate.State{}
	s.sending = append(s.sending, state)
	// The hedge delay is for the work of the server.
	s.lastStarted = now.Add(r.engine.tracker.RoundTrip(server))
	r.trace.Attempts++
	r.refCount.Add(1)
	due := r.timing.usefulUntil(r.route, now)
	until := due
	if r.mustFinish(s, choice, now) {
		until = r.timing.deadline
	}
	call := Call{
		Request:       r.request,
		Server:        server,
		Connections:   r.engine.connections(r.maxConnections(s.service), server.Zone),
		NewConnection: !r.route.Repeatable,
		Until:         until,
		Leaves:        server.Leaves(),
		Send:          func() bool { return r.maySend(server, time.Now()) && state.Send() },
	}
	tracked := r.engine.tracker.Begin(server, r.route.Name, now, r.replyDue(due, now))
	go r.attempt(attemptResult{shardIndex: s.index, server: server, runState: state, started: now}, call, tracked)
}

// maySend reports whether an attempt that has waited for a connection may still be sent. It is
// safe for concurrent use.
func (r *activeRequest) maySend(server *directory.Server, now time.Time) bool {
	return r.mayUse(server) && !r.isBarred(r.crashes.verdict(now), now)
}

// replyDue returns when the tracker should expect the reply to an attempt that starts now.
// After the cutoff every reply is late, so its time says nothing about the server.
func (r *activeRequest) replyDue(due, now time.Time) time.Time {
	if r.route.Sharded() && !now.Before(r.timing.cutoff) {
		return now
	}
	return due
}

// mustFinish reports whether a server has to complete a part even after the cutoff. This is
// needed when answers go out late anyway, because more shards are late than an answer may
// lack, and the server is slow even with little work or the budget might not allow a
// second request for the part. An overloaded server is not told to finish, because it
// could be in time with less work.
func (r *activeRequest) mustFinish(s *shardRequest, choice replicas.Choice, now time.Time) bool {
	if !r.route.Sharded() || r.engine.lateness.share(r.route.Name, now) <= r.maxMissingShare {
		return false
	}
	return choice.Slow || choice.ExpectedLatency == 0 && !r.engine.budgetCoversRetries(s.service, now)
}

// attempt sends one attempt and delivers its result. Res holds the attempt. It runs in its
// own goroutine and may continue after the request has its answer.
func (r *activeRequest) attempt(res attemptResult, call Call, tracked *replicas.Attempt) {
	defer r.release()
	reply, err := r.engine.client.Call(r.ctx, call)
	res.reply = reply
	if err != nil && !errors.As(err, &res.err) {
		res.err = &CallError{Sent: true, Detail: "call to backend server failed", Cause: err}
	}
	now := time.Now()
	r.crashes.record(&res, now)
	res.expired = r.route.Sharded() && reply != nil && !reply.success() && !reply.Misdirected && !now.Before(call.Until)
	if reply != nil && !reply.Misdirected {
		tracked.Observe(reply.Notice, now)
		r.engine.tracker.RecordExchange(r.route.Name, exchangeBytes(r.request, reply))
		if reply.Notice.Leaving {
			r.engine.directory.MarkLeaving(call.Server)
		}
	}
	tracked.End(outcomeOf(&res, r.ctx.Err()), now)
	r.engine.shedding.Queue.Wake(call.Server.Service)
	r.holdReply(&res)
	deliver(r.ctx, r.results, res)
}

// holdReply counts the bytes of a reply. A part beyond the bound is dropped; the reply to a
// request that is not sharded is the answer and is delivered.
func (r *activeRequest) holdReply(res *attemptResult) {
	switch {
	case res.reply == nil:
	case !r.route.Sharded():
		r.replies.Add(int64(len(res.reply.Body)))
	case !r.replies.Grow(int64(len(res.reply.Body))):
		res.reply, res.err = nil, &CallError{Sent: true, Detail: "no memory for the reply"}
	}
}

// deliver sends a value to a channel of the request. It gives up when ctx ends, since the
// request then no longer reads the channel.
func deliver[T any](ctx context.Context, to chan<- T, value T) {
	select {
	case to <- value:
		return
	default:
	}
	select {
	case to <- value:
	case <-ctx.Done():
	}
}

func outcomeOf(res *attemptResult, ended error) replicas.Outcome {
	reply := res.reply
	switch {
	case res.expired:
		return replicas.Expired
	case reply != nil && reply.Misdirected:
		return replicas.Misdirected
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
