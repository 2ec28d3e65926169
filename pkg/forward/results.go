package forward

import (
	"net/http"
	"time"
)

// handleResult accepts the reply of an attempt that has ended, or else tries another server
// and marks the shard as lost if there is none.
func (r *activeRequest) handleResult(res attemptResult) {
	s := r.shardRequests[res.shardIndex]
	s.attemptEnded(res.runState)
	if s.isComplete() {
		return
	}
	if r.accepts(res.reply) {
		s.reply = res.reply
		s.withdrawUnsent()
		r.answeredShards++
		r.stages.recordPart(time.Now())
		return
	}
	r.recordFailure(s, res)
	if r.launch(s, retry) || s.inFlight > 0 || r.retryExpired(s) {
		return
	}
	r.markLost(s)
}

// accepts reports whether a reply completes its shard request. An error reply does so only
// on a route that is not sharded, if another server would reply the same and if it may be
// passed on.
func (r *activeRequest) accepts(reply *Reply) bool {
	switch {
	case reply == nil || reply.NotRun:
		return false
	case reply.success():
		return true
	case r.route.Sharded() || !reply.mayBePassedOn():
		return false
	default:
		return reply.Status >= http.StatusMultipleChoices && reply.Status < http.StatusInternalServerError
	}
}

// recordFailure updates a shard request after an attempt without an accepted reply, and
// adds the failure to the trace.
func (r *activeRequest) recordFailure(s *shardRequest, res attemptResult) {
	event := AttemptEvent{Server: res.server.ID, Took: time.Since(res.started)}
	if res.expired {
		event.Event = "not in time"
		s.mayHaveRun = s.mayHaveRun || !res.reply.NotRun
		s.expiredServers = append(s.expiredServers, res.server.ID)
		r.traceEvent(s, event)
		return
	}
	switch {
	case res.reply == nil && !res.err.Sent:
		r.uncountArrival(s)
		if r.engine.directory.HasBegunToLeave(res.server) {
			s.forget(res.server.ID) // it may still serve as a last resort
		}
		event.Event, event.Detail = "not sent", res.err.Error()
		r.crashes.uncountProbe()
	case res.reply == nil:
		s.mayHaveRun = true
		event.Event, event.Detail = "no reply", res.err.Error()
	case res.reply.Misdirected:
		event.Event = "another server has the address"
		r.crashes.uncountProbe()
	case res.reply.NotRun:
		event.Event = "refused by server"
		r.crashes.uncountProbe()
	default:
		s.mayHaveRun = true
		event.Event, event.Detail = "failed at server", http.StatusText(res.reply.Status)
		if !r.route.Sharded() && res.reply.mayBePassedOn() && res.reply.Status >= http.StatusInternalServerError {
			s.failure = res.reply
		}
	}
	r.traceEvent(s, event)
}
