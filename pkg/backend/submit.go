package backend

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

type submitBody struct {
	Key     string          `json:"key"`
	Payload json.RawMessage `json:"payload"`
}

type submitReplyBody struct {
	Request   *string         `json:"request"`
	Attempt   *int32          `json:"attempt"`
	Operation *string         `json:"operation"`
	Result    json.RawMessage `json:"result"`
	Run       bool            `json:"run"`
}

// Submit sends one submission at most once, on a new connection that is closed
// afterwards. Its error is a *CallError. The run state of an error is "not run"
// before guard.Send returns true; afterwards it is unknown, unless the server's
// reply states that the submission did not run. The progress timeout does not
// apply: a retry is not allowed, so only waiting until the deadline can show the
// outcome.
func (p *Pool) Submit(ctx context.Context, call SubmitCall, guard SendGuard) (*SubmitReply, error) {
	ctx, span := p.startSpan(ctx, "backend.submit", call.Request, call.Attempt, call.Shard)
	defer span.End()
	result, err := p.submit(ctx, call, guard)
	if err != nil {
		recordError(span, err)
		return nil, err
	}
	return result, nil
}

func (p *Pool) submit(ctx context.Context, call SubmitCall, guard SendGuard) (*SubmitReply, error) {
	conn, err := p.acquire(ctx, true)
	if err != nil {
		return nil, acquireError(ctx, err)
	}
	defer p.discard(conn)
	req, err := p.submitRequest(ctx, call)
	if err != nil {
		return nil, notRun(peerpb.ResultStatus_INVALID_REPLY, "request not built", err)
	}
	if ctx.Err() != nil {
		return nil, acquireError(ctx, ctx.Err())
	}
	if !guard.Send() {
		return nil, notRun(peerpb.ResultStatus_DEADLINE, "stopped by the send guard", nil)
	}
	r, err := p.exchange(ctx, conn, req, 0)
	if err != nil {
		failure := classifyExchangeError(ctx, conn, err)
		if ctx.Err() == nil && isTruncated(conn, err) && p.confirmCrash(ctx) {
			failure.Status = peerpb.ResultStatus_CRASHED
		}
		return nil, failure
	}
	return parseSubmitReply(r, call)
}

func (p *Pool) submitRequest(ctx context.Context, call SubmitCall) (*http.Request, error) {
	body, err := json.Marshal(submitBody{Key: call.Key, Payload: call.Payload})
	if err != nil {
		return nil, err
	}
	req, err := p.newRequest(ctx, "/v1/submit", body)
	if err != nil {
		return nil, err
	}
	req.Close = true
	req.Header.Set(HeaderRequest, call.Request)
	req.Header.Set(HeaderAttempt, strconv.Itoa(int(call.Attempt)))
	req.Header.Set(HeaderShard, strconv.Itoa(int(call.Shard)))
	req.Header.Set(HeaderOperation, call.Operation)
	return req, nil
}

func parseSubmitReply(r *reply, call SubmitCall) (*SubmitReply, error) {
	if r.status != http.StatusOK {
		return nil, parseRefusal(r, call.Request)
	}
	var body submitReplyBody
	if err := json.Unmarshal(r.body, &body); err != nil {
		return nil, invalidReply("malformed reply", err).withState(r.state)
	}
	if mismatch := body.mismatch(call); mismatch != "" {
		return nil, invalidReply(mismatch, nil).withState(r.state)
	}
	return &SubmitReply{ServerState: r.state, Result: body.Result}, nil
}

// mismatch describes the first field that shows that the reply does not confirm
// this submission. It returns "" if the reply matches.
func (b *submitReplyBody) mismatch(call SubmitCall) string {
	switch {
	case !b.Run:
		return "reply does not say that the submission ran"
	case b.Request == nil || *b.Request != call.Request:
		return "reply to another request"
	case b.Attempt == nil || *b.Attempt != call.Attempt:
		return "reply to another attempt"
	case b.Operation == nil || *b.Operation != call.Operation:
		return "reply to another operation"
	}
	return ""
}
