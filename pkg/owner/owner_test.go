package owner

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/backend"
	"github.com/sycamorelift/sycamorelift/pkg/crashguard"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"gotest.tools/v3/assert"
)

const (
	timeoutMs        = 2000 // only a test that hangs waits this long
	documents        = 7
	serverID         = "b0"
	otherFingerprint = 99 // fingerprint of a request other than the one under test
)

// testbed is an owner with one slot on one backend server. Its clock is the
// system clock plus skew; a test adds to skew to simulate a paused process.
type testbed struct {
	*Owner
	view          *membership.View
	guard         *crashguard.Guard
	skew          atomic.Int64
	requests      atomic.Int32 // received by the backend server
	serve         func(http.ResponseWriter, *http.Request)
	onEnsureFresh func() // called when the owner confirms its view
	limits        Limits // of the requests
	backend       *httptest.Server
}

func newTestbed(t *testing.T) *testbed {
	b := &testbed{view: membership.NewView("i0", "z0"), guard: crashguard.New(), serve: sendMatchingReply, onEnsureFresh: func() {}, limits: Limits{Slots: 1, Connections: 25}}
	b.backend = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.requests.Add(1)
		b.serve(w, r)
	}))
	t.Cleanup(b.backend.Close)
	b.applyMembers(membership.StateLive, 1)
	b.Owner = New(Config{SelfID: "i0", View: b.view, Control: b, Guard: b.guard, Logger: slog.New(slog.DiscardHandler), Now: b.now})
	return b
}

func (b *testbed) applyMembers(state membership.State, revision int64) {
	b.view.Apply(membership.Members{
		Instances:      []membership.Instance{{ID: "i0", Zone: "z0", State: membership.StateLive}},
		BackendServers: []membership.BackendServer{{ID: serverID, Zone: "z0", Address: b.backend.Listener.Addr().String(), State: state}},
	}, revision)
}

func (b *testbed) now() time.Time                   { return time.Now().Add(time.Duration(b.skew.Load())) }
func (b *testbed) EnsureFresh(context.Context) bool { b.onEnsureFresh(); return false }
func (b *testbed) Sender() *peerpb.Sender           { return nil }
func (b *testbed) AddNotice(*peerpb.Notice)         {}

// sendMatchingReply sends a complete reply that matches the manifest.
func sendMatchingReply(w http.ResponseWriter, r *http.Request) { sendReply(w, r, documents) }

// sendReply sends a complete reply that states the given number of documents.
func sendReply(w http.ResponseWriter, r *http.Request, count int64) {
	attempt, _ := strconv.Atoi(r.Header.Get(backend.HeaderAttempt))
	body, _ := json.Marshal(map[string]any{
		"request": r.Header.Get(backend.HeaderRequest), "attempt": attempt, "shard": 0, "snapshot": 1, "documents": count,
		"hits": []backend.Hit{{Key: "k", Score: 1}}, "complete": true,
	})
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// search runs one attempt and returns its result, nil when it was cancelled.
func (b *testbed) search(ctx context.Context, fingerprint uint64) (result *peerpb.ShardResult, hits int) {
	_ = b.Search(ctx, &peerpb.SearchRequest{
		RequestId: "r", Snapshot: 1, TimeoutMs: timeoutMs, Slots: int32(b.limits.Slots), Connections: int32(b.limits.Connections), Fingerprint: fingerprint, CrashLimit: 2,
		Attempts: []*peerpb.ShardAttempt{{BackendServerId: serverID, Attempt: 1, Documents: documents}},
	}, func(frame *peerpb.SearchFrame) error {
		for _, r := range frame.Results {
			result, hits = r, len(frame.Hits)
		}
		return ctx.Err()
	})
	return result, hits
}

// changes returns the changes that may happen while an attempt is queued or the
// process is paused, by the status that the attempt must then have.
func (b *testbed) changes() map[peerpb.ResultStatus][]func() {
	crash := func(server, zone string) { b.guard.MergeReport(1, server, zone, b.now().Add(-2*time.Second)) }
	return map[peerpb.ResultStatus][]func(){
		peerpb.ResultStatus_DEADLINE: {func() { b.skew.Add(int64(2 * timeoutMs * time.Millisecond)) }},
		peerpb.ResultStatus_DRAINING: {
			func() { b.view.RecordServerDrain(serverID, "", b.now()) },
			func() { b.applyMembers(membership.StateLeaving, 2) },
		},
		peerpb.ResultStatus_QUARANTINED: {func() { crash("b1", "z1"); crash("b2", "z2") }},
	}
}

// eachChange runs a subtest for each change, with a new testbed.
func eachChange(t *testing.T, run func(t *testing.T, b *testbed, change func(), want peerpb.ResultStatus)) {
	for want, list := range newTestbed(t).changes() {
		for n := range list {
			t.Run(want.String()+strconv.Itoa(n), func(t *testing.T) {
				b := newTestbed(t)
				run(t, b, b.changes()[want][n], want)
			})
		}
	}
}

// Guards against a process that is paused after an attempt got its slot, and that
// sends the attempt under an old view or past the deadline when it resumes.
func TestViewAndDeadlineAreCheckedBeforeSending(t *testing.T) {
	eachChange(t, func(t *testing.T, b *testbed, change func(), want peerpb.ResultStatus) {
		b.onEnsureFresh = change
		result, _ := b.search(t.Context(), 1)
		assert.Equal(t, result.Status, want)
		assert.Equal(t, result.Run, peerpb.RunState_RUN_STATE_NOT_RUN)
		assert.Equal(t, b.requests.Load(), int32(0))
	})
}

// Guards against attempts that are sent although the view, the deadline or the
// quarantine forbids it since a change while they waited for a slot.
func TestQueuedAttemptIsCheckedAgain(t *testing.T) {
	eachChange(t, func(t *testing.T, b *testbed, change func(), want peerpb.ResultStatus) {
		started, proceed := make(chan bool), make(chan bool)
		b.serve = func(w http.ResponseWriter, r *http.Request) {
			started <- true
			<-proceed
			sendMatchingReply(w, r)
		}
		go b.search(t.Context(), otherFingerprint)
		<-started
		queued := make(chan *peerpb.ShardResult)
		go func() {
			result, _ := b.search(t.Context(), 1)
			queued <- result
		}()
		r, _ := b.replicas.get(serverID, Limits{Slots: 1, Connections: 25})
		for r.queue.Stats().Waiting == 0 {
			time.Sleep(time.Millisecond)
		}
		change()
		close(proceed)
		result := <-queued
		assert.Equal(t, result.Run, peerpb.RunState_RUN_STATE_NOT_RUN)
		assert.Assert(t, result.Status == want || result.Status == peerpb.ResultStatus_SHED, "%v", result)
		assert.Equal(t, b.requests.Load(), int32(1))
	})
}

// Guards against an attempt that has a slot, waits for a connection and reaches a server that
// has begun to leave meanwhile.
func TestAttemptThatWaitsForConnectionIsCheckedAgain(t *testing.T) {
	b := newTestbed(t)
	b.limits = Limits{Slots: 2, Connections: 1}
	started, proceed := make(chan bool, 2), make(chan bool)
	b.serve = func(w http.ResponseWriter, r *http.Request) {
		started <- true
		<-proceed
		sendMatchingReply(w, r)
	}
	go b.search(t.Context(), otherFingerprint)
	<-started
	waiting := make(chan *peerpb.ShardResult)
	go func() {
		result, _ := b.search(t.Context(), 1)
		waiting <- result
	}()
	time.Sleep(50 * time.Millisecond)
	b.view.RecordServerDrain(serverID, "", b.now())
	close(proceed)
	result := <-waiting
	assert.Equal(t, result.Status, peerpb.ResultStatus_DRAINING)
	assert.Equal(t, result.Run, peerpb.RunState_RUN_STATE_NOT_RUN)
	assert.Equal(t, b.requests.Load(), int32(1))
}

// Guards against a cancelled search that keeps its slot or its connection, and
// against a search that is sent after its cancellation.
func TestCancelledSearchReleasesSlot(t *testing.T) {
	b := newTestbed(t)
	ctx, cancel := context.WithCancel(t.Context())
	b.serve = func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server detects a closed connection only after the body is read
		cancel()
		<-r.Context().Done()
	}
	b.search(ctx, 1)
	r, _ := b.replicas.get(serverID, Limits{Slots: 1, Connections: 25})
	open, _ := r.pool.Stats()
	assert.Equal(t, r.queue.Stats().Running, 0)
	assert.Equal(t, open, 0)

	b.serve = sendMatchingReply
	result, hits := b.search(t.Context(), 1)
	assert.Equal(t, result.Status, peerpb.ResultStatus_OK)
	assert.Equal(t, hits, 1)

	ctx, cancel = context.WithCancel(t.Context())
	b.onEnsureFresh = cancel
	b.search(ctx, 1)
	assert.Equal(t, b.requests.Load(), int32(2))
	assert.Equal(t, r.queue.Stats().Running, 0)
}

// Guards against hits of a rejected reply in a frame: they would displace other
// hits when the frame is cut to the limit.
func TestReplyThatDiffersFromManifestHasNoHits(t *testing.T) {
	b := newTestbed(t)
	b.serve = func(w http.ResponseWriter, r *http.Request) { sendReply(w, r, documents+1) }
	result, hits := b.search(t.Context(), 1)
	assert.Equal(t, result.Status, peerpb.ResultStatus_INVALID_REPLY)
	assert.Equal(t, hits, 0)
}

// Guards against a request that is sent again and goes on to the next backend
// server because the server that it has crashed counts as unreachable only.
func TestServerThatIsDownAfterCrashCountsAsCrashed(t *testing.T) {
	b := newTestbed(t)
	b.serve = func(w http.ResponseWriter, _ *http.Request) {
		_ = b.backend.Listener.Close()
		conn, _, _ := w.(http.Hijacker).Hijack()
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	crashed, _ := b.search(t.Context(), 1)
	assert.Equal(t, crashed.Status, peerpb.ResultStatus_CRASHED)
	again, _ := b.search(t.Context(), 1)
	assert.Equal(t, again.Status, peerpb.ResultStatus_CRASHED)
	assert.Equal(t, again.Run, peerpb.RunState_RUN_STATE_NOT_RUN)
	other, _ := b.search(t.Context(), otherFingerprint)
	assert.Equal(t, other.Status, peerpb.ResultStatus_UNREACHABLE)
}

// Guards against a request to a draining backend server that has received none
// since its drain began, while the platform's list of servers lags.
func TestIdleServerIsProbedForItsDrain(t *testing.T) {
	b := newTestbed(t)
	b.serve = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(backend.HeaderDraining, "1")
		w.Header().Set(backend.HeaderIncarnation, "one")
		w.WriteHeader(http.StatusNoContent)
	}
	assert.Assert(t, b.view.AcceptsRequests(serverID, b.now()))
	b.probeIdle(t.Context())
	assert.Assert(t, !b.view.AcceptsRequests(serverID, b.now()))
	assert.Equal(t, b.requests.Load(), int32(1))
	b.probeIdle(t.Context())
	assert.Equal(t, b.requests.Load(), int32(1))
}
