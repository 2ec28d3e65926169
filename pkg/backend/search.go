package backend

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

type searchBody struct {
	Query string `json:"query"`
	Limit int32  `json:"limit"`
}

// searchReplyBody uses pointers for the fields that must match the call, to tell a
// missing field from a zero value.
type searchReplyBody struct {
	Request   *string `json:"request"`
	Attempt   *int32  `json:"attempt"`
	Shard     *int32  `json:"shard"`
	Snapshot  *int64  `json:"snapshot"`
	From      string  `json:"from"`
	To        string  `json:"to"`
	Documents int64   `json:"documents"`
	Hits      []Hit   `json:"hits"`
	Complete  bool    `json:"complete"`
}

// Search runs one search attempt. Its error is a *CallError.
//
// If a reused connection is lost or delivers nothing within the progress timeout,
// the connection may be at fault while the server is healthy. Search then closes
// the idle connections that have completed no call since it started, and tries
// once more on a new connection before it reports the server as unreachable.
// Repeating a search is safe because searches are idempotent.
func (p *Pool) Search(ctx context.Context, call SearchCall) (*SearchReply, error) {
	ctx, span := p.startSpan(ctx, "backend.search", call.Request, call.Attempt, call.Shard)
	defer span.End()
	result, silent, err := p.searchOnce(ctx, call, false)
	if silent {
		result, _, err = p.searchOnce(ctx, call, true)
		markRunUnknown(err)
	}
	if err != nil {
		recordError(span, err)
		return nil, err
	}
	return result, nil
}

// markRunUnknown sets the run state of the second try's error to unknown, since
// the request may have run on the first connection.
func markRunUnknown(err error) {
	var failure *CallError
	if errors.As(err, &failure) {
		failure.RunState = peerpb.RunState_RUN_STATE_UNKNOWN
	}
}

// searchOnce sends the search on one connection. It reports silent if a reused
// connection delivered no byte and the server is not known to have crashed.
func (p *Pool) searchOnce(ctx context.Context, call SearchCall, fresh bool) (result *SearchReply, silent bool, err error) {
	conn, err := p.acquire(ctx, fresh)
	if err != nil {
		return nil, false, acquireError(ctx, err)
	}
	if call.MaySend != nil && !call.MaySend() {
		p.release(conn)
		return nil, false, notRun(peerpb.ResultStatus_DRAINING, errLeaves.Error(), nil).withState(ServerState{Draining: true})
	}
	req, err := p.searchRequest(ctx, call)
	if err != nil {
		p.discard(conn)
		return nil, false, notRun(peerpb.ResultStatus_INVALID_REPLY, "request not built", err)
	}
	start := time.Now()
	r, err := p.exchange(ctx, conn, req, p.progressTimeout())
	if err != nil {
		failure := classifyExchangeError(ctx, conn, err)
		p.discard(conn)
		p.confirm(ctx, conn, failure, err)
		silent = conn.reused && conn.receivedBytes == 0 && failure.Status == peerpb.ResultStatus_UNREACHABLE
		if silent {
			p.closeIdleAfterSilence(ctx, start)
		}
		if !conn.reused {
			// A new connection that delivers nothing points to the server, which
			// may only be slow. Unless this time is recorded, the progress timeout
			// could never grow to the reply time of a slow server.
			p.recordReplyTime(time.Since(start))
		}
		return nil, silent, failure
	}
	p.recordReplyTime(time.Since(start))
	p.recordIncarnation(r.state.Incarnation)
	result, err = parseSearchReply(r, call)
	p.releaseOrDiscard(ctx, conn, r, err)
	return result, false, err
}

// closeIdleAfterSilence closes the idle connections that have completed no call
// since start, the time at which a call on a reused connection began that got no
// reply. Those connections may be unresponsive too.
func (p *Pool) closeIdleAfterSilence(ctx context.Context, start time.Time) {
	closed := p.closeIdleUnusedSince(start)
	p.opts.Logger.WarnContext(ctx, "connection to backend server is unresponsive",
		"backend_server", p.server.ID, "idle_connections_closed", closed)
}

// releaseOrDiscard returns the connection to the pool, or closes it if the reply
// was invalid, bytes follow the reply, the context has ended or the server will
// close the connection.
func (p *Pool) releaseOrDiscard(ctx context.Context, conn *connection, r *reply, err error) {
	var failure *CallError
	invalid := errors.As(err, &failure) && failure.Status == peerpb.ResultStatus_INVALID_REPLY
	if invalid || r.close || ctx.Err() != nil || conn.reader.Buffered() > 0 {
		p.discard(conn)
		return
	}
	p.release(conn)
}

func (p *Pool) searchRequest(ctx context.Context, call SearchCall) (*http.Request, error) {
	body, err := json.Marshal(searchBody{Query: call.Query, Limit: call.Limit})
	if err != nil {
		return nil, err
	}
	req, err := p.newRequest(ctx, "/v1/search", body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(HeaderRequest, call.Request)
	req.Header.Set(HeaderAttempt, strconv.Itoa(int(call.Attempt)))
	req.Header.Set(HeaderShard, strconv.Itoa(int(call.Shard)))
	req.Header.Set(HeaderSnapshot, strconv.FormatInt(call.Snapshot, 10))
	return req, nil
}

func parseSearchReply(r *reply, call SearchCall) (*SearchReply, error) {
	if r.status != http.StatusOK {
		return nil, parseRefusal(r, call.Request)
	}
	var body searchReplyBody
	if err := json.Unmarshal(r.body, &body); err != nil {
		return nil, invalidReply("malformed reply", err).withState(r.state)
	}
	if mismatch := body.mismatch(call); mismatch != "" {
		return nil, invalidReply(mismatch, nil).withState(r.state)
	}
	return &SearchReply{
		ServerState: r.state,
		Snapshot:    *body.Snapshot,
		From:        body.From,
		To:          body.To,
		Documents:   body.Documents,
		Hits:        body.Hits,
	}, nil
}

// mismatch describes the first field that shows that the reply is incomplete or
// belongs to another call. It returns "" if the reply matches.
func (b *searchReplyBody) mismatch(call SearchCall) string {
	switch {
	case !b.Complete:
		return "incomplete reply"
	case b.Request == nil || *b.Request != call.Request:
		return "reply to another request"
	case b.Attempt == nil || *b.Attempt != call.Attempt:
		return "reply to another attempt"
	case b.Shard == nil || *b.Shard != call.Shard:
		return "reply of another shard"
	case b.Snapshot == nil || *b.Snapshot != call.Snapshot:
		return "reply of another snapshot"
	}
	return ""
}
