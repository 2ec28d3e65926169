package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/forward"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
	"github.com/sycamorelift/sycamorelift/pkg/shedding"
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
	requests  *shedding.Bytes
	answers   *AnswerWriter
}

// New returns a gateway that routes by the given tables. Requests bounds the bytes of requests
// in progress, answers those of answers that are being written.
func New(codec Codec, tables Tables, forwarder Forwarder, recorder *Recorder, requests *shedding.Bytes, answers *AnswerWriter) *Gateway {
	return &Gateway{codec: codec, tables: tables, forwarder: forwarder, recorder: recorder, requests: requests, answers: answers}
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := g.newExchange(r)
	defer e.release()
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
	e.lease = g.requests.Lease(route.Priority <= 0)
	body, refusal := readBody(r, table.Limits(), e.lease)
	e.Read = time.Since(e.Arrived)
	if refusal != nil {
		e.spreadRetry(refusal)
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

// logWriteError logs an answer that could not be written, usually because the caller
// has closed the connection.
func logWriteError(logger *slog.Logger, id string, err error) {
	if err != nil {
		logger.Info("answer not delivered", "request_id", id, "error", err)
	}
}
