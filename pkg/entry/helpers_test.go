package entry

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
	"github.com/sycamorelift/sycamorelift/pkg/crashguard"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
	"github.com/sycamorelift/sycamorelift/pkg/telemetry"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"
)

const testToken = "secret"

const testBundle = `version: 7
platform: {max_deadline: 10s, max_hedge_budget: 0.05, max_crash_limit: 2}
teams:
  - name: office
    services:
      - {name: renewal-search, kind: search, slots: 2, connections: 25, deadline: 2s, crash_limit: 2}
    classes:
      - name: clerk
        priority: 1
        min_coverage: 1.0
        deadline: 2s
        services: [renewal-search]
        rules: [{name: clerk-rate, kind: max_rate, limit: 1}]
    callers:
      - {name: renewal-clerks, class: clerk, token_sha256: TOKEN}
`

// testControl is a control plane with a bundle and no index manifest.
type testControl struct{ verified *bundle.Verified }

func (c testControl) EnsureFresh(context.Context) bool                   { return false }
func (c testControl) Bundle() (*bundle.Verified, bool)                   { return c.verified, c.verified != nil }
func (c testControl) Manifest(string, string) (*snapshot.Manifest, bool) { return nil, false }
func (c testControl) RefreshManifest(context.Context, string, string)    {}
func (c testControl) Sender() *peerpb.Sender                             { return &peerpb.Sender{} }
func (c testControl) ObserveSender(*peerpb.Sender)                       {}

type testMetrics struct{}

func (testMetrics) Count(string, int64)           {}
func (testMetrics) Observe(string, time.Duration) {}

// newTestEntry returns an entry with a fixed clock, and the buffer that receives
// its log.
func newTestEntry(t *testing.T) (*Entry, *bytes.Buffer) {
	t.Helper()
	author, err := bundle.NewAuthor(rand.Reader)
	assert.NilError(t, err)
	sum := sha256.Sum256([]byte(testToken))
	signed, err := author.Publish([]byte(strings.Replace(testBundle, "TOKEN", hex.EncodeToString(sum[:]), 1)))
	assert.NilError(t, err)
	verified, err := bundle.Verify(signed, author.Trust())
	assert.NilError(t, err)
	log := &bytes.Buffer{}
	logger, err := telemetry.NewLogger(log, telemetry.LogOptions{Format: telemetry.LogJSON})
	assert.NilError(t, err)
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	return New(Config{
		Control: testControl{verified}, Guard: crashguard.New(), Metrics: testMetrics{},
		Tracer: noop.NewTracerProvider().Tracer(""), Logger: logger,
		Now: func() time.Time { return now }, MaxRequestBytes: 1 << 20,
	}), log
}

// expectRefusal sends a request that must be refused, and returns the HTTP
// response and the refusal in it.
func expectRefusal(t *testing.T, e *Entry, method, path string) (*httptest.ResponseRecorder, Refusal) {
	t.Helper()
	request := httptest.NewRequest(method, path, strings.NewReader(`{"query": "all"}`))
	request.Header.Set("Authorization", "Bearer "+testToken)
	request.Header.Set("Traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	reply := httptest.NewRecorder()
	e.Handler().ServeHTTP(reply, request)
	var refusal Refusal
	assert.NilError(t, json.Unmarshal(reply.Body.Bytes(), &refusal), reply.Body.String())
	assert.Assert(t, refusal.Refused && reply.Code != http.StatusOK)
	return reply, refusal
}
