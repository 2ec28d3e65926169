package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/errtext"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

const (
	// maxForeignReplies is the number of replies to earlier calls that are read
	// on a reused connection before the connection is given up.
	maxForeignReplies = 4
	// idleShare of the idle timeout that a server states is used, so that a
	// request does not cross the server's close.
	idleShare = 0.7
)

// ForwardCall is a request that is passed on as its caller sent it. Its deadline
// is that of the context.
type ForwardCall struct {
	Method string // decides whether the reply has a body
	// Wire returns request line, header and body. It is called when a connection
	// is ready, so that a stated time is right; nil gives the call up unsent.
	Wire  func() []byte
	Fresh bool // use a new connection
	// Belongs reports whether a reply with this header answers this call; nil
	// accepts every reply.
	Belongs func(http.Header) bool
}

// ForwardReply is a whole reply.
type ForwardReply struct {
	Status int
	Header http.Header
	Body   []byte
}

// ForwardError is the only error type of Forward.
type ForwardError struct {
	Sent   bool // the request may have reached the server
	Reused bool // the connection had carried another call before
	// Silent is set when no byte of a reply arrived before the call ended.
	Silent bool
	Status peerpb.ResultStatus
	Detail string // for logs and callers
	Cause  error
}

// Error names the detail and the cause.
func (e *ForwardError) Error() string {
	if e.Cause == nil {
		return "forward: " + e.Detail
	}
	return "forward: " + e.Detail + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ForwardError) Unwrap() error { return e.Cause }

// Forward sends a call and reads the whole reply. A call is written at most
// once. Cancellation of the context closes the connection, which cancels the
// request at the server.
func (p *Pool) Forward(ctx context.Context, call ForwardCall) (*ForwardReply, error) {
	conn, err := p.acquire(ctx, call.Fresh)
	if err != nil {
		failed := acquireError(ctx, err)
		return nil, &ForwardError{Status: failed.Status, Detail: failed.Detail, Cause: failed.Cause}
	}
	if ctx.Err() != nil {
		p.release(conn)
		return nil, &ForwardError{Status: peerpb.ResultStatus_DEADLINE, Detail: errtext.Describe(ctx.Err()), Cause: ctx.Err()}
	}
	wire := call.Wire()
	if wire == nil {
		p.release(conn)
		return nil, &ForwardError{Status: peerpb.ResultStatus_RESULT_STATUS_UNSPECIFIED, Detail: "no longer needed"}
	}
	began := time.Now()
	resp, body, err := p.forwardOn(ctx, conn, call, wire)
	if err != nil {
		failed := forwardFailure(ctx, conn, err)
		p.discard(conn)
		if failed.Reused && failed.Silent {
			p.reportSilent(ctx, began)
		}
		return nil, failed
	}
	conn.idleLimit = statedIdleLimit(resp.Header)
	if resp.Close || ctx.Err() != nil || conn.reader.Buffered() > 0 {
		p.discard(conn)
	} else {
		p.release(conn)
	}
	return &ForwardReply{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// forwardOn writes the call and reads replies until one belongs to it.
func (p *Pool) forwardOn(ctx context.Context, conn *connection, call ForwardCall, wire []byte) (*http.Response, []byte, error) {
	deadline, _ := ctx.Deadline()
	conn.begin(0, deadline, p.opts.MaxReplyBytes)
	stop := context.AfterFunc(ctx, conn.close)
	defer stop()
	if _, err := conn.Write(wire); err != nil {
		return nil, nil, err
	}
	for range maxForeignReplies {
		resp, body, err := readReply(conn, call.Method)
		if err != nil {
			return nil, nil, err
		}
		if call.Belongs == nil || call.Belongs(resp.Header) {
			return resp, body, nil
		}
		if resp.Close {
			break
		}
	}
	return nil, nil, invalidReply("replies to other calls", nil)
}

// readReply reads the next final reply with its body.
func readReply(conn *connection, method string) (*http.Response, []byte, error) {
	for {
		resp, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return nil, nil, err
		}
		return resp, body, nil
	}
}

func forwardFailure(ctx context.Context, conn *connection, err error) *ForwardError {
	call := classify(ctx, conn, err)
	silent := conn.received == 0 && (errors.Is(call, context.DeadlineExceeded) || call.Status == peerpb.ResultStatus_DEADLINE && !errors.Is(ctx.Err(), context.Canceled))
	return &ForwardError{Sent: true, Reused: conn.reused, Silent: silent, Status: call.Status, Detail: call.Detail, Cause: call.Cause}
}

// statedIdleLimit returns how long a connection may be idle by the server's
// Keep-Alive header, 0 when it states nothing.
func statedIdleLimit(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0
		}
		return time.Duration(idleShare * float64(seconds) * float64(time.Second))
	}
	return 0
}
