package backend

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/errtext"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

const (
	// maxStaleReplies is the number of replies to other calls that are read on a
	// connection before it is closed and the call fails.
	maxStaleReplies = 4
	// usableIdleFraction is the fraction of the server's stated idle timeout for
	// which an idle connection is used. The margin keeps a request from being
	// sent while the server is closing the connection.
	usableIdleFraction = 0.7
	// maxKeepAliveSeconds bounds the idle timeout that a server states; more would overflow a
	// time.Duration.
	maxKeepAliveSeconds = 24 * 60 * 60
)

// ForwardCall is a request that is passed on in the encoding that its caller
// chose. The deadline of the context passed to Forward bounds it.
type ForwardCall struct {
	Method string // decides whether the reply has a body
	// EncodeRequest returns request line and header. It is called when a connection
	// is ready, so that a remaining time in the header is correct. If it returns
	// nil, the call fails without being sent.
	EncodeRequest func() []byte
	Body          []byte // follows what EncodeRequest returns; it is not copied
	NewConnection bool   // dial a new connection instead of reusing an idle one
	// Leaves is closed when the server begins to leave. A call that waits for a connection
	// then fails without being sent. A nil channel is never closed.
	Leaves <-chan struct{}
	// MatchesReply reports whether a reply with the given header answers this call. A
	// nil function accepts every reply.
	MatchesReply func(http.Header) bool
}

// ForwardReply is a reply that has been read completely.
type ForwardReply struct {
	Status int
	Header http.Header
	Body   []byte
	// ServerDown is set if the end of the connection was that of the reply, which the server may
	// have sent by ending itself. It reports after a while whether the server is down.
	ServerDown func() bool
}

// ForwardError is the only error type that Forward returns.
type ForwardError struct {
	Sent   bool // the request may have reached the server
	Reused bool // the connection had carried another call before
	// NoReply is set if the deadline passed before any byte of a reply arrived.
	NoReply bool
	// ServerDown is set if the connection ended during the reply, but the server accepted a
	// new one. It reports after a while whether the server is down. It has to be called.
	ServerDown func() bool

	Status peerpb.ResultStatus
	Detail string // for logs and callers
	Cause  error
}

// ConnectionLost reports whether the server ended the connection before it replied, or went down
// during the reply.
func (e *ForwardError) ConnectionLost() bool {
	return e.Sent && e.Status == peerpb.ResultStatus_CRASHED
}

// Error returns the detail and the cause.
func (e *ForwardError) Error() string {
	if e.Cause == nil {
		return "forward: " + e.Detail
	}
	return "forward: " + e.Detail + ": " + e.Cause.Error()
}

// Unwrap returns the cause, for example context.Canceled.
func (e *ForwardError) Unwrap() error { return e.Cause }

// Forward sends a call, at most once, and reads the whole reply. Cancellation of the context closes the connection, which cancels the
// request at the server.
func (p *Pool) Forward(ctx context.Context, call ForwardCall) (*ForwardReply, error) {
	conn, err := p.acquireUnless(ctx, call.NewConnection, call.Leaves)
	if err != nil {
		callErr := acquireError(ctx, err)
		return nil, &ForwardError{Status: callErr.Status, Detail: callErr.Detail, Cause: callErr.Cause}
	}
	if ctx.Err() != nil {
		p.release(conn)
		return nil, &ForwardError{Status: peerpb.ResultStatus_DEADLINE, Detail: errtext.Describe(ctx.Err()), Cause: ctx.Err()}
	}
	wire := call.EncodeRequest()
	if wire == nil {
		p.release(conn)
		return nil, &ForwardError{Status: peerpb.ResultStatus_RESULT_STATUS_UNSPECIFIED, Detail: "no longer needed"}
	}
	start := time.Now()
	resp, body, err := p.forwardOn(ctx, conn, call, wire)
	if err != nil {
		forwardErr := newForwardError(ctx, conn, err)
		p.discard(conn)
		if ctx.Err() == nil && isTruncated(conn, err) {
			p.checkTruncated(ctx, forwardErr)
		}
		if forwardErr.Reused && forwardErr.NoReply {
			p.closeIdleAfterSilence(ctx, start)
		}
		return nil, forwardErr
	}
	conn.idleLimit = usableIdleTime(resp.Header)
	if resp.Close || ctx.Err() != nil || conn.reader.Buffered() > 0 {
		p.discard(conn)
	} else {
		p.release(conn)
	}
	reply := &ForwardReply{Status: resp.StatusCode, Header: resp.Header, Body: body}
	if endsWithConnection(resp, call.Method) {
		reply.ServerDown = p.checkLater(ctx, nil)
	}
	return reply, nil
}

// checkTruncated completes the error of a call whose reply was truncated.
func (p *Pool) checkTruncated(ctx context.Context, e *ForwardError) {
	down, later := p.ServerDown(ctx)
	if down {
		e.Status, e.Detail = peerpb.ResultStatus_CRASHED, "connection lost during the reply"
	}
	e.ServerDown = later
}

// forwardOn writes the call to conn and reads replies, skipping those to other
// calls, until it finds the reply to this call.
func (p *Pool) forwardOn(ctx context.Context, conn *connection, call ForwardCall, wire []byte) (*http.Response, []byte, error) {
	deadline, _ := ctx.Deadline()
	conn.beginCall(0, deadline, p.opts.MaxReplyBytes)
	stop := context.AfterFunc(ctx, conn.close)
	defer stop()
	if err := writeCall(conn, wire, call.Body); err != nil {
		return nil, nil, err
	}
	for range maxStaleReplies {
		resp, body, err := readReply(conn, call.Method)
		if err != nil {
			return nil, nil, err
		}
		if call.MatchesReply == nil || call.MatchesReply(resp.Header) {
			return resp, body, nil
		}
		if resp.Close {
			break
		}
	}
	return nil, nil, invalidReply("replies to other calls", nil)
}

// maxJoinedBody is the largest body that is copied behind the header, which saves a segment on
// the network. Larger bodies are shared by all attempts of a request.
const maxJoinedBody = 4 << 10

func writeCall(conn *connection, header, body []byte) error {
	if len(body) <= maxJoinedBody {
		header, body = append(header, body...), nil
	}
	if _, err := conn.Write(header); err != nil {
		return err
	}
	if len(body) == 0 {
		return nil
	}
	_, err := conn.Write(body)
	return err
}

// newForwardError turns an error that occurred after the first byte may have
// been written into a ForwardError.
func newForwardError(ctx context.Context, conn *connection, err error) *ForwardError {
	callErr := classifyExchangeError(ctx, conn, err)
	silent := conn.receivedBytes == 0 && (errors.Is(callErr, context.DeadlineExceeded) || callErr.Status == peerpb.ResultStatus_DEADLINE && !errors.Is(ctx.Err(), context.Canceled))
	return &ForwardError{Sent: true, Reused: conn.reused, NoReply: silent, Status: callErr.Status, Detail: callErr.Detail, Cause: callErr.Cause}
}

// usableIdleTime returns how long an idle connection may still be used according
// to the server's Keep-Alive header: usableIdleFraction of the stated timeout, or
// 0 if the header states no valid timeout.
func usableIdleTime(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0
		}
		return time.Duration(usableIdleFraction * float64(min(seconds, maxKeepAliveSeconds)) * float64(time.Second))
	}
	return 0
}
