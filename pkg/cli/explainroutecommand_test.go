package cli

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/forward"
)

// Guards against a query whose fields are lost or altered, and against text that leaves out
// what decided.
func TestExplainRoute(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.Method == http.MethodGet && r.URL.Path == "/v1/explain-route")
		assert.Check(t, r.URL.Query().Get("host") == "h.example" && r.URL.Query().Get("path") == "/a b/&c")
		_ = json.NewEncoder(w).Encode(&forward.Explanation{
			Instance: "edge-1", Zone: "a", Table: 7, Route: "r", Sharded: true, Required: 2, Refused: "no-backend-server", Detail: "1 of 2",
			Services: []forward.ServiceExplanation{
				{Service: "s0", Server: "i1", Relay: "edge-2", ShareOut: 0.25, LeaveFor: "b", Servers: []forward.CandidateExplanation{
					{Server: "i1", Zone: "b", Usable: true, Score: 1.5, ExpectedMs: 12.25, Running: 3, Reasons: []string{"cold", "in another zone"}}}},
				{Service: "s1", Servers: []forward.CandidateExplanation{{Server: "i2", Zone: "a", Reasons: []string{"asked for a pause"}}}},
			},
		})
	}))
	defer server.Close()
	operator := strings.TrimPrefix(server.URL, "http://")
	text := runOK(t, "explain-route", "--host", "h.example", "--path", "/a b/&c", "--operator", operator)
	assert.Equal(t, text, `instance edge-1 in zone a, table version 7
route r, 2 shards, 2 required
refused: no-backend-server 1 of 2
s0: i1 through instance edge-2; 25% leave for zone b
  i1 zone b score 1.50 expected 12.2 ms running 3: cold, in another zone
s1: no server
  i2 zone a score 0.00 expected 0.0 ms running 0 not usable: asked for a pause
`)
}
