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
	// noTableRetryAfter is the pause while this instance has no table: it is
	// starting, and other instances may be ready.
	noTableRetryAfter = 250 * time.Millisecond
	// confirmTimeout bounds the wait of a request for a newer table.
	confirmTimeout = 400 * time.Millisecond
	// defaultBodyBytes is the limit on bodies of a table that states none.
	defaultBodyBytes = 1 << 20
)

// Forwarder brings back the answer to a request on a route.
type Forwarder interface {
	Forward(ctx context.Context, table *routing.Table, route *routing.Route, request *forward.Request) *forward.Answer
}

// Gateway is the handler of callers' requests.
type Gateway struct {
	codec     Codec
	tables    Tables
	forwarder Forwarder
	recorder  *Recorder
}

// New returns a gateway.
func New(codec Codec, tables Tables, forwarder Forwarder, recorder *Recorder) *Gateway {
	return &Gateway{codec: codec, tables: tables, forwarder: forwarder, recorder: recorder}
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id, patience := g.codec.Stated(r.Header)
	e := exchange{ID: id, Method: r.Method, Path: r.URL.Path, Arrived: arrived, Patience: patience}
	answer := g.answer(r, &e)
	e.Status = g.write(w, id, answer)
	e.Answer = answer
	e.Took = time.Since(arrived)
	g.recorder.record(r.Context(), &e)
}

func (g *Gateway) answer(r *http.Request, e *exchange) *forward.Answer {
	table, route, refusal := g.route(r)
	if refusal != nil {
		e.Table = table
		return &forward.Answer{Refusal: refusal}
	}
	e.Table, e.Route = table, route
	body, refusal := readBody(r, table.Limits())
	if refusal != nil {
		return &forward.Answer{Refusal: refusal}
	}
	request := &forward.Request{
		ID:      e.ID,
		Method:  r.Method,
		Target:  r.RequestURI,
		Host:    r.Host,
		Header:  EndToEnd(r.Header),
		Body:    body,
		Arrived: e.Arrived,
	}
	if e.Patience > 0 {
		request.Deadline = e.Arrived.Add(e.Patience)
	}
	return g.forwarder.Forward(r.Context(), table, route, request)
}

// route finds the route of a request. That no route matches is stated only after
// the table was confirmed: one that is a moment old may lack the newest route.
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
		return nil, nil, &forward.Refusal{Reason: forward.NoTable, NotRun: true, RetryAfter: noTableRetryAfter}
	case !ok:
		return confirmed, nil, &forward.Refusal{Reason: forward.ViewUnconfirmed, NotRun: true, RetryAfter: noTableRetryAfter}
	default:
		return confirmed, nil, &forward.Refusal{Reason: forward.NoRoute, NotRun: true}
	}
}

// readBody reads the whole body, so that a request can be sent again and a
// caller that is slow holds no backend server.
func readBody(r *http.Request, limits routing.Limits) ([]byte, *forward.Refusal) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	limit := limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
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

// logWriteError records an answer that its caller did not get, mostly because it has
// closed the connection.
func logWriteError(logger *slog.Logger, id string, err error) {
	if err != nil {
		logger.Info("answer not delivered", "request_id", id, "error", err)
	}
}
