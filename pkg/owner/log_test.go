package owner

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/crashguard"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/telemetry"
	"gotest.tools/v3/assert"
)

// testControl is a control plane that does nothing.
type testControl struct{}

func (testControl) EnsureFresh(context.Context) bool { return false }
func (testControl) Sender() *peerpb.Sender           { return &peerpb.Sender{} }
func (testControl) AddNotice(*peerpb.Notice)         {}

// searchLogged searches one shard on a backend server with the given handler and
// returns the one log record that the search wrote.
func searchLogged(t *testing.T, handler http.HandlerFunc) map[string]any {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	view := membership.NewView("i1", "a")
	view.Replace(membership.Members{
		Instances: []membership.Instance{{ID: "i1", Zone: "a", State: membership.StateLive}},
		BackendServers: []membership.BackendServer{{ID: "b1", Team: "office", Service: "renewal-search", Zone: "a",
			Address: server.Listener.Addr().String(), State: membership.StateLive}},
	}, 1)
	var log bytes.Buffer
	logger, err := telemetry.NewLogger(&log, telemetry.LogOptions{Format: telemetry.LogJSON})
	assert.NilError(t, err)
	o := New(Config{SelfID: "i1", View: view, Control: testControl{}, Guard: crashguard.New(), Logger: logger, Now: time.Now})
	defer o.replicas.closeAll()
	err = o.Search(t.Context(), &peerpb.SearchRequest{
		RequestId: "r1", TimeoutMs: 3000, Slots: 1, Connections: 4, Snapshot: 7,
		Attempts: []*peerpb.ShardAttempt{{Attempt: 1, BackendServerId: "b1", Documents: 5}},
	}, func(*peerpb.SearchFrame) error { return nil })
	assert.NilError(t, err)
	var record map[string]any
	assert.NilError(t, json.Unmarshal(log.Bytes(), &record), log.String())
	return record
}

// Guards against log records of an owner without the id of the request during
// which they were written. The id comes with the message of the entry instance.
func TestLogNamesTheRequest(t *testing.T) {
	record := searchLogged(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Sycamorelift-Draining", "1")
		w.Header().Set("Sycamorelift-Incarnation", "inc-1")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"not_run": true, "reason": "draining"}`)
	})
	assert.Equal(t, record["msg"], "backend server is draining")
	assert.Equal(t, record["request_id"], "r1")
}

// Guards against a backend server that disagrees with the index manifest without
// a log record, so that missing shards are the only sign.
func TestRejectedReplyIsLogged(t *testing.T) {
	record := searchLogged(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"request": "r1", "attempt": 1, "shard": 0, "snapshot": 7, "documents": 4, "complete": true}`)
	})
	assert.Equal(t, record["msg"], "reply rejected")
	assert.Equal(t, record["level"], "WARN")
	assert.Equal(t, record["backend_server"], "b1")
	assert.Equal(t, record["request_id"], "r1")
}
