package instance_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/sycamorelift/sycamorelift/pkg/fleet"
	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

const (
	callerTrace = "0af7651916cd43dd8448eb211c80319c"
	callerSpan  = "b7ad6b7169203331"
)

// awaitSpans waits until a trace is complete, since a hop's span ends after its
// reply: the named spans are there in these numbers, and each span's parent.
func awaitSpans(t *testing.T, exporter *tracetest.InMemoryExporter, want map[string]int) map[string][]tracetest.SpanStub {
	t.Helper()
	var byName map[string][]tracetest.SpanStub
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		byName = map[string][]tracetest.SpanStub{}
		known := map[string]bool{callerSpan: true}
		spans := exporter.GetSpans()
		for _, span := range spans {
			byName[span.Name] = append(byName[span.Name], span)
			known[span.SpanContext.SpanID().String()] = true
		}
		for _, span := range spans {
			if !known[span.Parent.SpanID().String()] {
				return poll.Continue("%s has no parent among the spans", span.Name)
			}
		}
		for name, n := range want {
			if len(byName[name]) != n {
				return poll.Continue("%d spans %s, want %d", len(byName[name]), name, n)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(3*time.Second), poll.WithDelay(10*time.Millisecond))
	for _, span := range exporter.GetSpans() {
		assert.Equal(t, span.SpanContext.TraceID().String(), callerTrace, span.Name)
	}
	exporter.Reset()
	return byName
}

// clerkToken returns the token of the class that may search and submit.
func clerkToken(t *testing.T) string {
	t.Helper()
	for _, class := range fleet.Classes(standin.Office().Name) {
		if class.Name == "clerk" {
			return class.Token()
		}
	}
	t.Fatal("no class clerk")
	return ""
}

func post(t *testing.T, address, path, ticket string, body any) map[string]any {
	t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(t, err)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+clerkToken(t))
	request.Header.Set("Traceparent", "00-"+callerTrace+"-"+callerSpan+"-01")
	if ticket != "" {
		request.Header.Set("Sycamorelift-Ticket", ticket)
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	reply, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK, string(reply))
	var fields map[string]any
	assert.NilError(t, json.Unmarshal(reply, &fields))
	return fields
}

// Guards against a hop without a span or one that starts a new trace: the
// latency of a request could then not be attributed to a hop.
func TestOneSpanPerHop(t *testing.T) {
	exporter := tracetest.NewInMemoryExporter()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.NeverSample())))
	started := startFleet(t, fleetOptions{spec: standin.Office(), instances: 3, traces: provider})

	t.Run("search", func(t *testing.T) {
		answer := post(t, started[0].CallerAddress, "/v1/office/renewal-search/search", "", map[string]any{"query": "all"})
		byName := awaitSpans(t, exporter, map[string]int{"entry.search": 1, "backend.search": int(answer["attempts"].(float64))})
		entry := byName["entry.search"][0]
		assert.Equal(t, entry.Parent.SpanID().String(), callerSpan)
		parents := map[string]bool{entry.SpanContext.SpanID().String(): true}
		assert.Assert(t, len(byName["owner.search"]) > 0)
		for _, span := range byName["owner.search"] {
			assert.Equal(t, span.Parent.SpanID(), entry.SpanContext.SpanID())
			parents[span.SpanContext.SpanID().String()] = true
		}
		for _, span := range byName["backend.search"] {
			assert.Assert(t, parents[span.Parent.SpanID().String()])
		}
	})

	t.Run("submission through a second instance", func(t *testing.T) {
		key := map[string]any{"key": "SK-1"}
		ticket := post(t, started[0].CallerAddress, "/v1/office/fee-ledger/tickets", "", key)
		awaitSpans(t, exporter, map[string]int{"entry.ticket": 1})
		through := started[0]
		if through.ID == ticket["issuer"] {
			through = started[1]
		}
		post(t, through.CallerAddress, "/v1/office/fee-ledger/submit", ticket["ticket"].(string),
			map[string]any{"key": "SK-1", "payload": map[string]any{"fee": 1}})
		byName := awaitSpans(t, exporter, map[string]int{"entry.submit": 1, "owner.submit": 1, "backend.submit": 1})
		entry, issuer, backend := byName["entry.submit"][0], byName["owner.submit"][0], byName["backend.submit"][0]
		assert.Equal(t, entry.Parent.SpanID().String(), callerSpan)
		assert.Equal(t, issuer.Parent.SpanID(), entry.SpanContext.SpanID())
		assert.Equal(t, backend.Parent.SpanID(), issuer.SpanContext.SpanID())
	})
}
