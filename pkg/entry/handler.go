package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/sycamorelift/sycamorelift/pkg/telemetry"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// Handler returns the caller API.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/{team}/{service}/search", e.instrument("entry.search", e.handleSearch))
	mux.HandleFunc("POST /v1/{team}/{service}/tickets", e.instrument("entry.ticket", e.handleTicket))
	mux.HandleFunc("POST /v1/{team}/{service}/submit", e.instrument("entry.submit", e.handleSubmit))
	e.addFallbacks(mux)
	return mux
}

// call is one HTTP request of a caller.
type call struct {
	id      string
	team    string
	service string
	token   string
}

// callHandler handles a call and returns the reply body, or a *Refusal as the
// error.
type callHandler func(w http.ResponseWriter, r *http.Request, c call) (any, error)

// instrument wraps a call handler: it assigns the request id, starts a span,
// limits the body, writes the reply and measures the duration.
func (e *Entry) instrument(name string, handle callHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		started := e.config.Now()
		c := call{
			id:      uuid.NewString(),
			team:    r.PathValue("team"),
			service: r.PathValue("service"),
			token:   bearerToken(r),
		}
		ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := e.config.Tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
			attribute.String("request_id", c.id), attribute.String("team", c.team), attribute.String("service", c.service)))
		defer span.End()
		ctx, applied := withAppliedPolicy(telemetry.WithRequestID(ctx, c.id))
		r.Body = http.MaxBytesReader(w, r.Body, e.config.MaxRequestBytes)
		reply, err := handle(w, r.WithContext(ctx), c)
		if err != nil {
			span.RecordError(err)
		}
		e.writeReply(ctx, w, c, applied, reply, err)
		e.config.Metrics.Observe(name, e.config.Now().Sub(started))
	}
}

func (e *Entry) handleSearch(_ http.ResponseWriter, r *http.Request, c call) (any, error) {
	var body searchBody
	if err := decodeBody(r, &body); err != nil {
		return nil, err
	}
	if body.Limit < 0 || body.Limit > maxLimit {
		return nil, invalidRefusal(http.StatusBadRequest, fmt.Sprintf("limit is %d, allowed are 0 to %d", body.Limit, maxLimit))
	}
	if body.Limit == 0 {
		body.Limit = defaultLimit
	}
	answer, err := e.Search(r.Context(), SearchRequest{
		RequestID: c.id, Team: c.team, Service: c.service, Token: c.token, Query: body.Query, Limit: body.Limit,
	})
	if err != nil {
		return nil, err
	}
	if answer.Coverage.Complete {
		e.config.Metrics.Count("searches.complete", 1)
	} else {
		e.config.Metrics.Count("searches.partial", 1)
	}
	return answer, nil
}

// writeReply writes the answer or the refusal as JSON.
func (e *Entry) writeReply(ctx context.Context, w http.ResponseWriter, c call, applied *appliedPolicy, body any, err error) {
	status := http.StatusOK
	if err != nil {
		refusal := asRefusal(err)
		refusal.RequestID = c.id
		status = refusal.Status
		body = refusal
		e.config.Metrics.Count("refused."+string(refusal.Reason.Kind), 1)
		if refusal.RetryAfterMs > 0 {
			seconds := time.Duration(refusal.RetryAfterMs)*time.Millisecond + time.Second - 1
			w.Header().Set("Retry-After", fmt.Sprint(int(seconds/time.Second)))
		}
		e.logRefusal(ctx, c, applied, refusal)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Sycamorelift-Request", c.id)
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		e.config.Logger.DebugContext(ctx, "reply not delivered", "error", err)
	}
}

// asRefusal returns a copy of the refusal in err. Any other error becomes an
// internal shortage whose cause appears only in the log.
func asRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		copied := *refusal
		return &copied
	}
	refusal = shortageRefusal(RunUnknown, ShortageInternal, "see the log of the instance")
	refusal.cause = err
	return refusal
}

func bearerToken(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return token
}
