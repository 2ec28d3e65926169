package standin

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"time"
)

func (c *call) search() {
	c.recordAfterDrain()
	var body searchBody
	if !c.decode(&body) {
		return
	}
	query, err := ParseQuery(body.Query)
	if err != nil {
		c.invalid(err.Error())
		return
	}
	if c.headerInt(HeaderShard) != int64(c.server.config.Member.Shard) {
		c.invalid("this backend server serves another shard")
		return
	}
	version := c.headerInt(HeaderSnapshot)
	if !slices.Contains(c.server.Snapshots(), version) {
		c.refuse(refusalSnapshotGone)
		return
	}
	if reason := c.admit(); reason != refusalNone {
		c.refuse(reason)
		return
	}
	defer c.free()
	c.runSearch(body, query, version)
}

func (c *call) runSearch(body searchBody, query Query, version int64) {
	c.server.counters.searches.Add(1)
	c.server.config.Runs.RecordSearch(c.request.Header.Get(HeaderRequest))
	if restartAfter, crash := c.server.faults.crashes(body.Query); crash {
		c.crash(restartAfter)
	}
	if !c.work() {
		c.abandon()
		return
	}
	limit := body.Limit
	if limit <= 0 {
		limit = DefaultLimit
	}
	fault, wrong := c.nextFault()
	if wrong && fault.Kind == ReplyOtherSnapshot {
		version = c.otherSnapshot(version)
	}
	reply := c.searchReply(query, limit, version)
	c.free()
	if wrong {
		c.replyWrong(*fault, reply)
		return
	}
	c.server.previous.Store(&reply)
	c.reply(http.StatusOK, reply)
}

// crash takes the process down from a goroutine of its own, because Close
// waits for nothing but must not run inside a handler that it aborts.
func (c *call) crash(restartAfter time.Duration) {
	go c.server.Crash(restartAfter)
	<-c.life.ctx.Done()
	panic(http.ErrAbortHandler)
}

// work holds the slot for the service time. It returns false when the caller
// or the process is gone or the deadline has passed.
func (c *call) work() bool {
	factor := c.server.faults.factor(time.Since(c.life.startedAt))
	wait := time.Duration(float64(c.server.sampleTime()) * factor)
	if c.deadline.IsZero() {
		return c.pause(wait)
	}
	left := time.Until(c.deadline)
	if left < wait {
		c.pause(left)
		return false
	}
	return c.pause(wait)
}

// abandon ends a search that had begun. A passed deadline is answered; nothing
// is sent to a caller that is gone.
func (c *call) abandon() {
	c.free()
	if c.request.Context().Err() != nil || c.life.ctx.Err() != nil {
		c.server.counters.cancelled.Add(1)
		panic(http.ErrAbortHandler)
	}
	c.reply(http.StatusGatewayTimeout, mustJSON(refusalReply{NotRun: false, Reason: refusalDeadline}))
}

func (c *call) searchReply(query Query, limit int, version int64) []byte {
	index := c.server.config.Data.shard(version, c.server.config.Member.Shard)
	head := mustJSON(searchReplyHead{
		Request:   c.request.Header.Get(HeaderRequest),
		Attempt:   c.headerInt(HeaderAttempt),
		Shard:     c.server.config.Member.Shard,
		Snapshot:  version,
		From:      index.partition.From,
		To:        index.partition.To,
		Documents: index.partition.Documents,
		Complete:  true,
	})
	var reply bytes.Buffer
	reply.Write(head[:len(head)-1])
	reply.WriteString(`,"hits":`)
	reply.Write(index.hits(query, limit))
	reply.WriteByte('}')
	return reply.Bytes()
}

func (c *call) nextFault() (*ReplyFault, bool) {
	fault := c.server.faults.replyFault()
	return fault, fault.applies(c.server.replies.Add(1))
}

func (c *call) otherSnapshot(version int64) int64 {
	for _, served := range c.server.Snapshots() {
		if served != version {
			return served
		}
	}
	return version + 1
}

func (c *call) replyWrong(fault ReplyFault, reply []byte) {
	switch fault.Kind {
	case ReplyLate:
		c.pause(fault.Delay)
	case ReplyTruncated:
		c.truncate(reply)
	case ReplyCrossed:
		reply = c.crossed(reply)
	}
	c.reply(http.StatusOK, reply)
}

func (c *call) truncate(reply []byte) {
	c.pause(c.oneWay)
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(reply)))
	_, _ = c.writer.Write(reply[:len(reply)/2])
	_ = http.NewResponseController(c.writer).Flush()
	panic(http.ErrAbortHandler)
}

// crossed returns the reply of an earlier request, or this one under another
// request's id when there is none.
func (c *call) crossed(reply []byte) []byte {
	if previous := c.server.previous.Swap(&reply); previous != nil {
		return *previous
	}
	id := c.request.Header.Get(HeaderRequest)
	return bytes.Replace(reply, []byte(id), []byte("another-request"), 1)
}
