package lifecycle

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func serveGet(h http.Handler) *httptest.ResponseRecorder {
	reply := httptest.NewRecorder()
	h.ServeHTTP(reply, httptest.NewRequest(http.MethodGet, "/", nil))
	return reply
}

// Guards against a shutdown that interrupts a request. Readiness must fail first;
// requests must be served during the load balancer's delay and until all requests
// and tickets are done; keep-alive connections must close after their reply; and
// only then may requests be refused.
func TestDrainServesEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var liveTickets atomic.Int64
		liveTickets.Store(1)
		onDrainingCalled := false
		l := New(Config{LoadBalancerDelay: 5 * time.Second, DrainTimeout: time.Minute,
			LiveTickets: func() int { return int(liveTickets.Load()) }, OnDraining: func() { onDrainingCalled = true }})
		release := make(chan struct{})
		slow := l.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
		fast := l.Handler(http.NotFoundHandler())
		assert.Equal(t, serveGet(l.Readiness()).Code, http.StatusServiceUnavailable)
		l.SetReady()
		assert.Equal(t, serveGet(l.Readiness()).Code, http.StatusOK)
		assert.Equal(t, serveGet(fast).Header().Get("Connection"), "")
		go serveGet(slow)
		results := make(chan error, 2)
		go func() { results <- l.Drain(context.Background()) }()
		synctest.Wait()
		l.SetReady()
		assert.Equal(t, serveGet(l.Readiness()).Code, http.StatusServiceUnavailable)
		assert.Assert(t, onDrainingCalled)
		go func() { results <- l.Drain(context.Background()) }()

		time.Sleep(6 * time.Second)
		reply := serveGet(fast)
		assert.Equal(t, reply.Code, http.StatusNotFound)
		assert.Equal(t, reply.Header().Get("Connection"), "close")
		assert.Equal(t, serveGet(l.PeerHandler(http.NotFoundHandler())).Header().Get("Connection"), "")
		liveTickets.Store(0)
		time.Sleep(time.Second)
		assert.Equal(t, l.State(), Draining) // a request is still in flight
		close(release)
		assert.NilError(t, <-results)
		assert.NilError(t, <-results)
		refused := serveGet(fast)
		assert.Equal(t, refused.Code, http.StatusServiceUnavailable)
		assert.Assert(t, json.Valid(refused.Body.Bytes()), refused.Body)
		assert.Equal(t, l.InFlight(), 0)
	})
}

// Guards against an instance that stops at once when nothing is in flight, while
// the load balancer still sends requests to it.
func TestDrainWaitsForLoadBalancer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Config{LoadBalancerDelay: 5 * time.Second, DrainTimeout: time.Minute})
		go func() { _ = l.Drain(context.Background()) }()
		time.Sleep(4900 * time.Millisecond)
		assert.Equal(t, l.State(), Draining)
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, l.State(), Closed)
	})
}

// Guards against an instance that closes while a ticket that it has issued can
// still be redeemed, because only this instance can redeem it.
func TestDrainWaitsForTickets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var liveTickets atomic.Int64
		liveTickets.Store(1)
		l := New(Config{DrainTimeout: time.Minute, LiveTickets: func() int { return int(liveTickets.Load()) }})
		go func() { _ = l.Drain(context.Background()) }()
		time.Sleep(30 * time.Second)
		assert.Equal(t, l.State(), Draining)
		liveTickets.Store(0)
		time.Sleep(time.Second)
		assert.Equal(t, l.State(), Closed)
	})
}

// Guards against a shutdown that never ends, and against one that does not report
// what it interrupted.
func TestDrainTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Config{DrainTimeout: time.Second, LiveTickets: func() int { return 3 }})
		release := make(chan struct{})
		go serveGet(l.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release })))
		synctest.Wait()
		var drainErr *DrainError
		assert.Assert(t, errors.As(l.Drain(context.Background()), &drainErr))
		assert.DeepEqual(t, drainErr, &DrainError{InFlight: 1, LiveTickets: 3})
		close(release)
	})
}

// Guards against accepting a request while the instance closes: each request must
// either be served before the state is Closed or be refused.
func TestCloseExcludesRequests(t *testing.T) {
	for range 2000 {
		l := New(Config{DrainTimeout: time.Minute})
		var servedWhenClosed atomic.Bool
		h := l.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { servedWhenClosed.Store(l.State() == Closed) }))
		var done sync.WaitGroup
		done.Go(func() { serveGet(h) })
		done.Go(func() { assert.Check(t, l.Drain(context.Background())) })
		done.Wait()
		assert.Assert(t, !servedWhenClosed.Load())
	}
}

// Guards against a panic of a handler after which its request counts as in flight
// forever.
func TestPanicLeavesNoRequestInFlight(t *testing.T) {
	l := New(Config{})
	func() {
		defer func() { _ = recover() }()
		serveGet(l.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })))
	}()
	assert.Equal(t, l.InFlight(), 0)
}

// Guards against a closed instance that refuses a retried submission as "not run",
// although an earlier attempt of it may have run.
func TestClosedInstanceReportsRunState(t *testing.T) {
	l := New(Config{})
	assert.NilError(t, l.Drain(t.Context()))
	for path, run := range map[string]string{
		"/v1/office/renewal-search/search": `"run":"not-run"`,
		"/v1/office/fee-ledger/submit":     `"run":"unknown"`,
	} {
		recorder := httptest.NewRecorder()
		l.Handler(http.NotFoundHandler()).ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, nil))
		assert.Assert(t, strings.Contains(recorder.Body.String(), run), "%s: %s", path, recorder.Body.String())
	}
}

// Guards against a drain that accepts callers' requests until it ends and then interrupts
// them: after the accept timeout they must be refused, while requests in flight and those
// of other instances are served.
func TestDrainRefusesAfterAcceptTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var refusing atomic.Int32
		l := New(Config{LoadBalancerDelay: 2 * time.Second, AcceptTimeout: 3 * time.Second, DrainTimeout: time.Minute, OnRefusing: func() { refusing.Add(1) },
			Refuse: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })})
		l.SetReady()
		release := make(chan struct{})
		inFlight := make(chan int, 1)
		go func() {
			inFlight <- serveGet(l.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))).Code
		}()
		synctest.Wait()
		drained := make(chan error, 1)
		go func() { drained <- l.Drain(context.Background()) }()
		served := l.Handler(http.NotFoundHandler())
		time.Sleep(2900 * time.Millisecond)
		assert.Equal(t, serveGet(served).Code, http.StatusNotFound)
		assert.Equal(t, refusing.Load(), int32(0))
		time.Sleep(200 * time.Millisecond)
		refused := serveGet(served)
		assert.Equal(t, refused.Code, http.StatusTeapot)
		assert.Equal(t, refused.Header().Get("Connection"), "close")
		assert.Equal(t, refusing.Load(), int32(1))
		assert.Equal(t, serveGet(l.PeerHandler(http.NotFoundHandler())).Code, http.StatusNotFound)
		assert.Equal(t, l.State(), Refusing)
		close(release)
		assert.NilError(t, <-drained)
		assert.Equal(t, <-inFlight, http.StatusOK)
		assert.Equal(t, l.State(), Closed)
	})
}

// Guards against requests that end without an answer because nothing tells their handlers
// that the process ends, or that take it for a caller that has left.
func TestInterruptEndsContextsWithCause(t *testing.T) {
	l := New(Config{})
	ctx, cancel := context.WithCancel(l.BaseContext(nil))
	defer cancel()
	assert.NilError(t, ctx.Err())
	l.Interrupt()
	<-ctx.Done()
	assert.Assert(t, errors.Is(context.Cause(ctx), ErrInterrupted))
}
