package backend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"github.com/sycamorelift/sycamorelift/pkg/errtext"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// reply is an HTTP reply whose body has been read completely.
type reply struct {
	status int
	state  ServerState
	body   []byte
	close  bool // the server will close the connection
}

// newRequest builds the POST request of a search or submission, with the headers
// that both have in common. HTTP/1.1 keeps the connection open by default;
// submitRequest asks the server to close it.
func (p *Pool) newRequest(ctx context.Context, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url(path), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	if p.opts.Zone != "" {
		req.Header.Set(HeaderZone, p.opts.Zone)
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Milliseconds(), 1)
		req.Header.Set(HeaderTimeout, strconv.FormatInt(left, 10))
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}

func (p *Pool) url(path string) string {
	scheme := "http"
	if p.opts.TLS != nil {
		scheme = "https"
	}
	return scheme + "://" + p.server.Address + path
}

// exchange writes the request and reads the whole reply. Cancellation of the
// context closes the connection, which cancels the request at the server.
func (p *Pool) exchange(ctx context.Context, conn *connection, req *http.Request, progress time.Duration) (*reply, error) {
	deadline, _ := ctx.Deadline()
	conn.beginCall(progress, deadline, p.opts.MaxReplyBytes)
	stop := context.AfterFunc(ctx, conn.close)
	defer stop()
	if err := writeRequest(conn, req); err != nil {
		return nil, err
	}
	resp, body, err := readReply(conn, req.Method)
	if err != nil {
		return nil, err
	}
	if resp.ContentLength < 0 {
		return nil, invalidReply("reply without Content-Length", nil).withState(parseServerState(resp.Header))
	}
	return &reply{status: resp.StatusCode, state: parseServerState(resp.Header), body: body, close: resp.Close}, nil
}

// requestWriters pools write buffers. Without it, Request.Write would allocate a
// buffer for each request; a buffer per connection would occupy memory while the
// connection is idle.
var requestWriters = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

func writeRequest(conn *connection, req *http.Request) error {
	w := requestWriters.Get().(*bufio.Writer)
	w.Reset(conn)
	defer func() {
		w.Reset(nil)
		requestWriters.Put(w)
	}()
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// classifyExchangeError turns an error that occurred after the first byte may
// have been written into a CallError. The run state is always unknown.
func classifyExchangeError(ctx context.Context, conn *connection, err error) *CallError {
	var callErr *CallError
	var netErr net.Error
	switch {
	case errors.As(err, &callErr):
		return callErr
	case ctx.Err() != nil:
		return unknownRun(peerpb.ResultStatus_DEADLINE, errtext.Describe(ctx.Err()), ctx.Err())
	case errors.Is(err, errReplyTooLarge):
		return invalidReply(err.Error(), err)
	case errors.Is(err, os.ErrDeadlineExceeded) && deadlinePassed(conn.deadline):
		return unknownRun(peerpb.ResultStatus_DEADLINE, errtext.DeadlinePassed, context.DeadlineExceeded)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return unknownRun(peerpb.ResultStatus_UNREACHABLE, "no progress within "+conn.progressTimeout.String(), err)
	case conn.receivedBytes > 0 && errors.Is(err, io.ErrUnexpectedEOF):
		return invalidReply("truncated reply", err)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		return unknownRun(peerpb.ResultStatus_CRASHED, errtext.ConnectionLost, err)
	default:
		return invalidReply("malformed reply", err)
	}
}

func deadlinePassed(deadline time.Time) bool {
	return !deadline.IsZero() && !time.Now().Before(deadline)
}

// acquireError turns a failure to get a connection into a CallError. Nothing
// has been written, so the request has not run.
func acquireError(ctx context.Context, err error) *CallError {
	if ctx.Err() != nil {
		return notRun(peerpb.ResultStatus_DEADLINE, "no connection before the deadline", ctx.Err())
	}
	detail := errtext.Describe(err)
	if errors.Is(err, errNoQuota) || errors.Is(err, errClosed) || errors.Is(err, errLeaves) {
		detail = err.Error()
	}
	return notRun(peerpb.ResultStatus_UNREACHABLE, detail, err)
}
