package standin

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

// submit executes a submission. It counts as executed when it takes its slot;
// from then on neither cancellation nor the deadline stops it. The server
// doesn't recognize repeated operations, as the platform doesn't promise that.
func (c *call) submit() {
	c.recordAfterDrain()
	var body submitBody
	if !c.decode(&body) {
		return
	}
	if !c.server.config.Service.Submission {
		c.invalid("this service takes no submissions")
		return
	}
	if reason := c.admit(); reason != refusalNone {
		c.refuse(reason)
		return
	}
	defer c.free()
	payload := body.payloadText()
	operation := c.request.Header.Get(HeaderOperation)
	c.server.counters.submissions.Add(1)
	c.server.config.Runs.RecordSubmission(operation, c.server.config.Service.Name, payload)
	if restartAfter, crash := c.server.faults.crashes(payload); crash {
		c.crash(restartAfter)
	}
	factor := c.server.faults.factor(time.Since(c.life.startedAt))
	time.Sleep(time.Duration(float64(c.server.sampleTime()) * factor))
	c.free()
	c.reply(http.StatusOK, mustJSON(submitReply{
		Request:   c.request.Header.Get(HeaderRequest),
		Attempt:   c.headerInt(HeaderAttempt),
		Operation: operation,
		Result:    SubmissionResult(body.Key, payload),
		Run:       true,
	}))
}

// SubmissionResult returns the result of a submission, which depends only on
// its body.
func SubmissionResult(key, payload string) string {
	return fmt.Sprintf("accepted %s %016x", key, xxhash.Sum64String(key+"\x00"+payload))
}
