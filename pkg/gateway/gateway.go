package gateway

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/forward"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

const (
	// tableRetryAfter is the Retry-After of a refusal because this instance has no
	// table or cannot confirm the one it has. It is short since the instance may
	// just be starting, and other instances may be ready.
	tableRetryAfter = 250 * time.Millisecond
	// confirmTimeout bounds how long a request without a matching route waits until
	// the table is confirmed.
	confirmTimeout = 400 * time.Millisecond
	// defaultMaxBodyBytes limits request bodies when the table states no limit.
	defaultMaxBodyBytes = 1 << 20
)

// Forwarder sends a request to the backend servers of its route and returns the
// answer, which is never nil.
type Forwarder interface {
	Forward(ctx context.Context, table *routing.Table, route *routing.Route, request *forward.Request) *forward.Answer
}

// Gateway is the http.Handler of callers' requests.
type Gateway struct {
	codec     Codec
	tables    Tables
	forwarder Forwarder
	recorder  *Recorder
}

// New returns a gateway that routes by the given tables.
func New(codec Codec, tables Tables, forwarder Forwarder, recorder *Recorder) *Gateway {
	return &Gateway{codec: codec, tables: tables, forwarder: forwarder, recorder: recorder}
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := g.newExchange(r)
	g.finish(w, r, &e, g.answer(r, &e))
}

// newExchange returns the exchange of a request that has just arrived.
func (g *Gateway) newExchange(r *http.Request) exchange {
	id, callerTimeout := g.codec.ReadRequestFields(r.Header)
	return exchange{ID: id, Method: r.Method, Path: r.URL.Path, Arrived: time.Now(), CallerTimeout: callerTimeout, NetworkTime: networkTime(r.Context())}
}

// finish writes the answer to a request and records the exchange.
func (g *Gateway) finish(w http.ResponseWriter, r *http.Request, e *exchange, answer *forward.Answer) {
	ready := time.Now()
	e.Status = g.write(w, e.ID, answer)
	answer.Trace.Stages.Read = e.Read
	answer.Trace.Stages.Write = time.Since(ready)
	e.Answer = answer
	e.Took = time.Since(e.Arrived)
	g.recorder.record(r.Context(), e)
}

// answer returns the answer to a request and stores the table and the route that it
// used in e.
func (g *Gateway) answer(r *http.Request, e *exchange) *forward.Answer {
	table, route, refusal := g.route(r)
	if refusal != nil {
		e.Table = table
		e.spreadRetry(refusal)
		return &forward.Answer{Refusal: refusal}
	}
	e.Table, e.Route = table, route
	body, refusal := readBody(r, table.Limits())
	e.Read = time.Since(e.Arrived)
	if refusal != nil {
		return &forward.Answer{Refusal: refusal}
	}
	request := &forward.Request{
		ID:          e.ID,
		Method:      r.Method,
		Target:      r.RequestURI,
		Host:        r.Host,
		Header:      EndToEnd(r.Header),
		Body:        body,
		Arrived:     e.Arrived,
		NetworkTime: e.NetworkTime,
	}
	if e.CallerTimeout > 0 {
		request.Deadline = e.Arrived.Add(e.CallerTimeout)
	}
	return g.forwarder.Forward(r.Context(), table, route, request)
}

// route returns the route of a request, or a refusal. It refuses with NoRoute only
// after the table has been confirmed, since a table that is slightly old may lack the
// newest route.
func (g *Gateway) route(r *http.Request) (*routing.Table, *routing.Route, *forward.Refusal) {
	table := g.tables.Table()
	if table != nil {
		if route := table.Match(r.Host, r.URL.EscapedPath()); route != nil {
			return table, route, nil
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), confirmTimeout)
	defer cancel()
	confirmed, ok := g.tables.Confirm(ctx)
	if confirmed != nil {
		if route := confirmed.Match(r.Host, r.URL.EscapedPath()); route != nil {
			return confirmed, route, nil
		}
	}
	switch {
	case confirmed == nil:
		return nil, nil, &forward.Refusal{Reason: forward.NoTable, NotRun: true, RetryAfter: tableRetryAfter}
	case !ok:
		return confirmed, nil, &forward.Refusal{Reason: forward.ViewUnconfirmed, NotRun: true, RetryAfter: tableRetryAfter}
	default:
		return confirmed, nil, &forward.Refusal{Reason: forward.NoRoute, NotRun: true}
	}
}

// readBody reads the whole body before the request is forwarded. The request can
// then be sent again, and a slow caller does not occupy a backend server.
func readBody(r *http.Request, limits routing.Limits) ([]byte, *forward.Refusal) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	limit := limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		return nil, &forward.Refusal{Reason: forward.BodyTooLarge, NotRun: true}
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	switch {
	case err != nil && r.Context().Err() != nil:
		return nil, &forward.Refusal{Reason: forward.CallerLeft, NotRun: true, Detail: err.Error()}
	case err != nil:
		return nil, &forward.Refusal{Reason: forward.BadRequest, NotRun: true, Detail: err.Error()}
	case int64(len(body)) > limit:
		return nil, &forward.Refusal{Reason: forward.BodyTooLarge, NotRun: true}
	}
	return body, nil
}

// logWriteError logs an answer that could not be written, usually because the caller
// has closed the connection.
func logWriteError(logger *slog.Logger, id string, err error) {
	if err != nil {
		logger.Info("answer not delivered", "request_id", id, "error", err)
	}
}
