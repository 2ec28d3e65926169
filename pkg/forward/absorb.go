package forward

import (
	"net/http"
	"time"
)

// absorb takes the end of an attempt into account.
func (r *run) absorb(res result) {
	l := r.legs[res.leg]
	l.running--
	if l.decided() {
		return
	}
	if r.accepts(res.reply) {
		l.reply = res.reply
		l.settled.Store(true)
		r.have++
		return
	}
	r.note(l, res)
	if r.launch(l, retry) || l.running > 0 || r.askAgain(l) {
		return
	}
	r.lose(l)
}

// accepts reports whether a reply settles its leg. A failure that the server
// itself states is final only when another server would state the same.
func (r *run) accepts(reply *Reply) bool {
	switch {
	case reply == nil || reply.NotRun:
		return false
	case reply.success():
		return true
	case r.route.Sharded():
		return false
	default:
		return reply.Status >= http.StatusMultipleChoices && reply.Status < http.StatusInternalServerError
	}
}

// note records an attempt without a result.
func (r *run) note(l *leg, res result) {
	t := Trouble{Server: res.server.ID, Took: time.Since(res.began)}
	if res.expired {
		t.Event = "not in time"
		l.mayRun = l.mayRun || !res.reply.NotRun
		l.again = append(l.again, res.server.ID)
		r.trouble(l, t)
		return
	}
	switch {
	case res.reply == nil && !res.err.Sent:
		r.unsend(l)
		t.Event, t.Detail = "not sent", res.err.Error()
	case res.reply == nil:
		l.mayRun = true
		t.Event, t.Detail = "no reply", res.err.Error()
	case res.reply.Misplaced:
		t.Event = "another server has the address"
	case res.reply.NotRun:
		t.Event = "refused by server"
	default:
		l.mayRun = true
		t.Event, t.Detail = "failed at server", http.StatusText(res.reply.Status)
		if !r.route.Sharded() && res.reply.Status >= http.StatusInternalServerError {
			l.failure = res.reply
		}
	}
	r.trouble(l, t)
}
