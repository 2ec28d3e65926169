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
	timeoutMs  = 2000 // only ends a test that hangs
	documents  = 7
	serverID   = "b0"
	otherQuery = 99 // fingerprint
)

// bench is an owner with one slot on one backend server. Its clock is the
// system's plus skew, which stands for the pauses of the process.
type bench struct {
	*Owner
	view     *membership.View
	guard    *crashguard.Guard
	skew     atomic.Int64
	requests atomic.Int32 // that the backend server has received
	serve    func(http.ResponseWriter, *http.Request)
	fresh    func() // called when the owner confirms its view
	backend  *httptest.Server
}

func newBench(t *testing.T) *bench {
	b := &bench{view: membership.NewView("i0", "z0"), guard: crashguard.New(), serve: answer, fresh: func() {}}
	b.backend = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.requests.Add(1)
		b.serve(w, r)
	}))
	t.Cleanup(b.backend.Close)
	b.apply(membership.StateLive, 1)
	b.Owner = New(Config{SelfID: "i0", View: b.view, Control: b, Guard: b.guard, Logger: slog.New(slog.DiscardHandler), Now: b.now})
	return b
}

func (b *bench) apply(state membership.State, revision int64) {
	b.view.Apply(membership.Members{
		Instances:      []membership.Instance{{ID: "i0", Zone: "z0", State: membership.StateLive}},
		BackendServers: []membership.BackendServer{{ID: serverID, Zone: "z0", Address: b.backend.Listener.Addr().String(), State: state}},
	}, revision)
}

func (b *bench) now() time.Time                   { return time.Now().Add(time.Duration(b.skew.Load())) }
func (b *bench) EnsureFresh(context.Context) bool { b.fresh(); return false }
func (b *bench) Sender() *peerpb.Sender           { return nil }
func (b *bench) AddNotice(*peerpb.Notice)         {}

// answer is a whole reply of the protocol.
func answer(w http.ResponseWriter, r *http.Request) { reply(w, r, documents) }

func reply(w http.ResponseWriter, r *http.Request, count int64) {
	attempt, _ := strconv.Atoi(r.Header.Get(backend.HeaderAttempt))
	body, _ := json.Marshal(map[string]any{
		"request": r.Header.Get(backend.HeaderRequest), "attempt": attempt, "shard": 0, "snapshot": 1, "documents": count,
		"hits": []backend.Hit{{Key: "k", Score: 1}}, "complete": true,
	})
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// search runs one attempt and returns its result, nil when it was cancelled.
func (b *bench) search(ctx context.Context, fingerprint uint64) (result *peerpb.ShardResult, hits int) {
	_ = b.Search(ctx, &peerpb.SearchRequest{
		RequestId: "r", Snapshot: 1, TimeoutMs: timeoutMs, Slots: 1, Connections: 25, Fingerprint: fingerprint, CrashLimit: 2,
		Attempts: []*peerpb.ShardAttempt{{BackendServerId: serverID, Attempt: 1, Documents: documents}},
	}, func(frame *peerpb.SearchFrame) error {
		for _, r := range frame.Results {
			result, hits = r, len(frame.Hits)
		}
		return ctx.Err()
	})
	return result, hits
}

// changes are what may happen while an attempt waits or the process is paused.
func (b *bench) changes() map[peerpb.ResultStatus][]func() {
	crash := func(server, zone string) { b.guard.MergeReport(1, server, zone, b.now().Add(-2*time.Second)) }
	return map[peerpb.ResultStatus][]func(){
		peerpb.ResultStatus_DEADLINE: {func() { b.skew.Add(int64(2 * timeoutMs * time.Millisecond)) }},
		peerpb.ResultStatus_DRAINING: {
			func() { b.view.RecordServerDrain(serverID, "", b.now()) },
			func() { b.apply(membership.StateLeaving, 2) },
		},
		peerpb.ResultStatus_QUARANTINED: {func() { crash("b1", "z1"); crash("b2", "z2") }},
	}
}

// eachChange runs a test for each change on a fresh bench.
func eachChange(t *testing.T, run func(t *testing.T, b *bench, change func(), want peerpb.ResultStatus)) {
	for want, list := range newBench(t).changes() {
		for n := range list {
			t.Run(want.String()+strconv.Itoa(n), func(t *testing.T) {
				b := newBench(t)
				run(t, b, b.changes()[want][n], want)
			})
		}
	}
}

// Guards against a process that is paused after it got a slot and sends under
// an old view or past the deadline when it resumes.
func TestViewAndDeadlineAreCheckedBeforeSending(t *testing.T) {
	eachChange(t, func(t *testing.T, b *bench, change func(), want peerpb.ResultStatus) {
		b.fresh = change
		result, _ := b.search(t.Context(), 1)
		assert.Equal(t, result.Status, want)
		assert.Equal(t, result.Run, peerpb.RunState_RUN_STATE_NOT_RUN)
		assert.Equal(t, b.requests.Load(), int32(0))
	})
}

// Guards against attempts that are sent although everything changed while they
// waited for a slot.
func TestQueuedAttemptIsCheckedAgain(t *testing.T) {
	eachChange(t, func(t *testing.T, b *bench, change func(), want peerpb.ResultStatus) {
		started, proceed := make(chan bool), make(chan bool)
		b.serve = func(w http.ResponseWriter, r *http.Request) {
			started <- true
			<-proceed
			answer(w, r)
		}
		go b.search(t.Context(), otherQuery)
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

// Guards against a cancelled search that keeps its slot or its connection, and
// against one that is sent after the cancellation.
func TestCancelledSearchReleasesSlot(t *testing.T) {
	b := newBench(t)
	ctx, cancel := context.WithCancel(t.Context())
	b.serve = func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server sees the end of a connection only then
		cancel()
		<-r.Context().Done()
	}
	b.search(ctx, 1)
	r, _ := b.replicas.get(serverID, Limits{Slots: 1, Connections: 25})
	open, _ := r.pool.Stats()
	assert.Equal(t, r.queue.Stats().Running, 0)
	assert.Equal(t, open, 0)

	b.serve = answer
	result, hits := b.search(t.Context(), 1)
	assert.Equal(t, result.Status, peerpb.ResultStatus_OK)
	assert.Equal(t, hits, 1)

	ctx, cancel = context.WithCancel(t.Context())
	b.fresh = cancel
	b.search(ctx, 1)
	assert.Equal(t, b.requests.Load(), int32(2))
	assert.Equal(t, r.queue.Stats().Running, 0)
}

// Guards against hits of a reply that the entry instance rejects: they would
// take the place of other hits in a frame that is cut to the limit.
func TestReplyThatDiffersFromManifestHasNoHits(t *testing.T) {
	b := newBench(t)
	b.serve = func(w http.ResponseWriter, r *http.Request) { reply(w, r, documents+1) }
	result, hits := b.search(t.Context(), 1)
	assert.Equal(t, result.Status, peerpb.ResultStatus_INVALID_REPLY)
	assert.Equal(t, hits, 0)
}

// Guards against a resent request that goes on to the next backend server
// because the one it has crashed is only unreachable.
func TestServerThatIsDownAfterCrashCountsAsCrashed(t *testing.T) {
	b := newBench(t)
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
	other, _ := b.search(t.Context(), otherQuery)
	assert.Equal(t, other.Status, peerpb.ResultStatus_UNREACHABLE)
}

// Guards against the first request that goes to a leaving backend server which
// got none before, while the platform's list lags.
func TestIdleServerIsProbedForItsDrain(t *testing.T) {
	b := newBench(t)
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
