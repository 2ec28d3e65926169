package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"
)

// emptyControl is a control plane without any control document.
type emptyControl struct{}

func (emptyControl) EnsureFresh(context.Context) bool                   { return true }
func (emptyControl) Bundle() (*bundle.Verified, bool)                   { return nil, false }
func (emptyControl) Manifest(string, string) (*snapshot.Manifest, bool) { return nil, false }
func (emptyControl) RefreshManifest(_ context.Context, _, _ string)     {}
func (emptyControl) Sender() *peerpb.Sender                             { return &peerpb.Sender{} }
func (emptyControl) ObserveSender(*peerpb.Sender)                       {}

type noMetrics struct{}

func (noMetrics) Count(string, int64)           {}
func (noMetrics) Observe(string, time.Duration) {}

// Guards against a resent submission that has run, but is refused as "not run"
// by an instance that did not ask the ticket's issuer. Its caller would get a
// new ticket and the submission would run twice.
func TestRefusalWithoutIssuerIsUnknown(t *testing.T) {
	e := New(Config{
		Control: emptyControl{}, Metrics: noMetrics{}, Now: time.Now, MaxRequestBytes: 1 << 10,
		Tracer: noop.NewTracerProvider().Tracer(""), Logger: slog.New(slog.DiscardHandler),
	})
	for name, body := range map[string]string{
		"no bundle":     `{"key": "k", "payload": {}}`,
		"unknown field": `{"key": "k", "payloads": {}}`,
		"too large":     `{"key": "` + strings.Repeat("k", 2<<10) + `"}`,
	} {
		request := httptest.NewRequest(http.MethodPost, "/v1/office/fee-ledger/submit", strings.NewReader(body))
		request.Header.Set(ticketHeader, "ticket")
		recorder := httptest.NewRecorder()
		e.Handler().ServeHTTP(recorder, request)
		var refusal Refusal
		assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &refusal))
		assert.Equal(t, refusal.Run, RunUnknown, name)
	}
}
