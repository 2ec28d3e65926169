package forward

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/suspects"
)

// record takes in the result of an attempt that has ended.
func (c *crashSuspicion) record(res *attemptResult, now time.Time) {
	loss := suspects.Loss{Server: res.server.Key(), Began: res.started, Ended: now}
	switch {
	case res.reply != nil && res.reply.Misdirected: // another server has the address
	case res.reply != nil:
		c.engine.suspects.RecordAlive(loss.Server, res.started)
		switch {
		case res.reply.ServerDown != nil:
			go c.settleReply(res.server, loss, res.reply.success(), res.reply.ServerDown)
		case res.reply.success():
			c.recordReply(now)
		}
	case res.err.ServerDown != nil:
		go c.settleTruncated(res.server, loss, res.err.ServerDown)
	case res.err.ConnectionLost:
		c.recordLoss(res.server, loss)
	}
}

// settleTruncated takes in an attempt whose connection ended during the reply, once it is known
// whether the server went down.
func (c *crashSuspicion) settleTruncated(server *directory.Server, loss suspects.Loss, serverDown func() bool) {
	if serverDown() {
		c.recordLoss(server, loss)
	}
}

// settleReply takes in a reply that ended with its connection. A server that leaves may go down
// right after it.
func (c *crashSuspicion) settleReply(server *directory.Server, loss suspects.Loss, success bool, serverDown func() bool) {
	switch down := serverDown(); {
	case down && !server.Leaving() && !c.engine.directory.HasBegunToLeave(server):
		c.gotReply.Store(true)
		c.recordLoss(server, loss)
	case !down && success:
		c.recordReply(loss.Ended)
	}
}

// recordLoss records that a server was lost while it ran the request.
func (c *crashSuspicion) recordLoss(server *directory.Server, loss suspects.Loss) {
	if c.answered.Load() {
		return
	}
	c.mu.Lock()
	c.lostServers = append(c.lostServers, server)
	c.mu.Unlock()
	c.lost.Store(true)
	c.engine.suspects.RecordLoss(c.fingerprint, loss)
	switch {
	case !c.ended.Load(): // requestEnded reports it
	case c.sharded:
		c.reportDue.Store(true)
		if c.settled.Load() {
			c.attemptsEnded()
		}
	default:
		c.report(time.Now())
	}
}

// requestEnded tells the other instances if the request ends under suspicion and has added to
// it: its caller may repeat it at any of them. A relay leaves that to the instance that has the
// caller, which knows whether other shards have answered. A sharded request that is refused
// while attempts are in flight is reported after the last of them, which may still clear it.
func (r *activeRequest) requestEnded() {
	r.crashes.ended.Store(true)
	if r.route.Sharded() && r.refCount.Load() > 1 {
		r.crashes.reportDue.Store(true)
		return
	}
	r.crashes.report(time.Now())
}

// attemptsEnded makes the report that was put off until the last attempt has ended.
func (c *crashSuspicion) attemptsEnded() {
	c.settled.Store(true)
	if c.reportDue.Swap(false) {
		c.report(time.Now())
	}
}

func (c *crashSuspicion) report(now time.Time) {
	if !c.lost.Load() {
		return
	}
	if !c.servesPeer && !c.gotReply.Load() && c.engine.suspects.HistoryAge(now) < suspects.QuarantineTime {
		c.recordUnanswered()
	}
	c.share(now)
}

func (c *crashSuspicion) share(now time.Time) {
	if s := c.suspect(now); s != nil {
		c.engine.onSuspect(*s)
	}
}

// recordUnanswered records that the request has ended without a reply, which may quarantine it. A
// server that accepts connections has lost only that of the request. The caller's answer waits for
// these connections, so that the request is in quarantine when the caller repeats it.
func (c *crashSuspicion) recordUnanswered() {
	c.mu.Lock()
	lost := c.lostServers
	c.lostServers = nil
	c.mu.Unlock()
	if len(lost) >= suspects.MaxLosses {
		return // their number quarantines the request
	}
	isDown := len(lost) == 0 // relays have lost the servers
	for _, server := range lost {
		down, later := c.engine.client.ServerDown(server)
		isDown = isDown || down
		if later != nil {
			go c.settleLost(server, later)
		}
	}
	if isDown {
		c.engine.suspects.RecordUnanswered(c.fingerprint)
	}
}

// settleLost takes in the later state of a server that accepted connections after a loss.
func (c *crashSuspicion) settleLost(server *directory.Server, serverDown func() bool) {
	down := serverDown()
	switch now := time.Now(); {
	case !down:
		c.engine.suspects.RecordAlive(server.Key(), now)
	case !c.answered.Load():
		c.engine.suspects.RecordUnanswered(c.fingerprint)
		c.share(now)
	}
}
