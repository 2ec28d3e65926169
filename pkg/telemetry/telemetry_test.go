package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against log records that lack the ids of the trace and the request that they
// belong to.
func TestLoggerAddsIDsFromContext(t *testing.T) {
	var out bytes.Buffer
	logger, err := NewLogger(&out, LogOptions{Format: LogJSON, Level: "warn", InstanceID: "a"})
	assert.NilError(t, err)
	tracing := NewHTTPTracing(mustProvider(t, TracingOptions{Exporter: ExporterStdout, Stdout: &bytes.Buffer{}, SampleFraction: 1}))
	ctx, span := tracing.Tracer().Start(WithRequestID(context.Background(), "r1"), "test")
	logger.InfoContext(ctx, "below the level")
	logger.WarnContext(ctx, "kept")
	var record map[string]any
	assert.NilError(t, json.Unmarshal(out.Bytes(), &record))
	assert.Equal(t, record["request_id"], "r1")
	assert.Equal(t, record["trace_id"], span.SpanContext().TraceID().String())
	assert.Equal(t, record["instance"], "a")
	_, err = NewLogger(&out, LogOptions{Level: "loud"})
	assert.ErrorContains(t, err, "loud")
}

// Guards against instances in one process that share or overwrite each other's
// metrics, and against a panic of expvar on a second registration.
func TestRegistriesAreIndependent(t *testing.T) {
	a, b := NewRegistry("a"), NewRegistry("b")
	a.Counter("requests").Add(2)
	b.Counter("requests").Add(5)
	a.Histogram("latency").Record(20 * time.Millisecond)
	successor := NewRegistry("b")
	b.Close() // closing a replaced registry must not remove its successor
	var vars map[string]map[string]any
	assert.NilError(t, json.Unmarshal([]byte(expvar.Get(rootName).String()), &vars))
	assert.Equal(t, vars["a"]["requests"], 2.0)
	assert.Equal(t, len(vars["b"]), 0)
	successor.Close()
	assert.Assert(t, root().Get("b") == nil)

	reply := httptest.NewRecorder()
	a.Handler().ServeHTTP(reply, httptest.NewRequest(http.MethodGet, "/debug/vars", nil))
	assert.Assert(t, json.Valid(reply.Body.Bytes()), reply.Body.String())
	assert.Assert(t, strings.Contains(reply.Body.String(), `"p99_us":20`))
}

// Guards against wrong quantiles and against a histogram that does not count values
// outside its range.
func TestHistogramQuantiles(t *testing.T) {
	h := NewHistogram()
	for ms := 1; ms <= 100; ms++ {
		h.Record(time.Duration(ms) * time.Millisecond)
	}
	p50 := h.Quantile(0.5)
	assert.Assert(t, p50 > 49*time.Millisecond && p50 < 51*time.Millisecond, "%v", p50)
	h.Record(time.Hour)
	h.Record(-time.Second)
	assert.Equal(t, h.Summary().Count, int64(102))
}

// Guards against hops that start a new trace instead of continuing the
// caller's, and against spans that are lost at shutdown.
func TestTraceCrossesHops(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spans")
	provider, shutdown, err := NewTracerProvider(context.Background(), TracingOptions{Exporter: ExporterFile, File: path, InstanceID: "a", SampleFraction: 1})
	assert.NilError(t, err)
	tracing := NewHTTPTracing(provider)
	server := httptest.NewServer(tracing.Handler("serve", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusTeapot)
		w.(http.Flusher).Flush()
	})))
	defer server.Close()
	request, err := http.NewRequest(http.MethodGet, server.URL, nil)
	assert.NilError(t, err)
	ctx, outer := tracing.Tracer().Start(context.Background(), "outer")
	reply, err := tracing.Transport("call", http.DefaultTransport).RoundTrip(request.WithContext(ctx))
	assert.NilError(t, err)
	assert.NilError(t, reply.Body.Close())
	assert.Equal(t, request.Header.Get("traceparent"), "")
	outer.End()
	server.Close()
	assert.NilError(t, shutdown(context.Background()))
	spans, err := os.ReadFile(path)
	assert.NilError(t, err)
	id := `"TraceID":"` + outer.SpanContext().TraceID().String()
	for _, name := range []string{"serve", "call", "outer"} {
		assert.Assert(t, strings.Contains(string(spans), `"Name":"`+name+`"`), name)
	}
	for _, line := range strings.Split(strings.TrimSpace(string(spans)), "\n") {
		assert.Assert(t, strings.Contains(line, id), line)
	}
}

// Guards against unknown exporters and missing destinations that are accepted, so that
// spans are lost unnoticed.
func TestTracingRejectsBadOptions(t *testing.T) {
	for _, options := range []TracingOptions{{Exporter: "carrier"}, {Exporter: ExporterOTLP}, {Exporter: ExporterFile}} {
		_, _, err := NewTracerProvider(context.Background(), options)
		assert.Assert(t, err != nil, "%+v", options)
	}
}
