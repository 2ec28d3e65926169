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

func get(h http.Handler) *httptest.ResponseRecorder {
	reply := httptest.NewRecorder()
	h.ServeHTTP(reply, httptest.NewRequest(http.MethodGet, "/", nil))
	return reply
}

// Guards against a shutdown that interrupts a request: readiness fails first,
// requests are served during the delay and until they and all tickets are done,
// kept-alive connections are closed after their reply, and then all is refused.
func TestDrainServesEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var live atomic.Int64
		live.Store(1)
		stopped := false
		m := New(Config{LoadBalancerDelay: 5 * time.Second, DrainTimeout: time.Minute,
			Live: func() int { return int(live.Load()) }, OnDraining: func() { stopped = true }})
		release := make(chan struct{})
		slow := m.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
		fast := m.Handler(http.NotFoundHandler())
		assert.Equal(t, get(m.Readiness()).Code, http.StatusServiceUnavailable)
		m.SetReady()
		assert.Equal(t, get(m.Readiness()).Code, http.StatusOK)
		assert.Equal(t, get(fast).Header().Get("Connection"), "")
		go get(slow)
		results := make(chan error, 2)
		go func() { results <- m.Drain(context.Background()) }()
		synctest.Wait()
		m.SetReady()
		assert.Equal(t, get(m.Readiness()).Code, http.StatusServiceUnavailable)
		assert.Assert(t, stopped)
		go func() { results <- m.Drain(context.Background()) }()

		time.Sleep(6 * time.Second)
		reply := get(fast)
		assert.Equal(t, reply.Code, http.StatusNotFound)
		assert.Equal(t, reply.Header().Get("Connection"), "close")
		assert.Equal(t, get(m.PeerHandler(http.NotFoundHandler())).Header().Get("Connection"), "")
		live.Store(0)
		time.Sleep(time.Second)
		assert.Equal(t, m.State(), Draining) // a request is still in flight
		close(release)
		assert.NilError(t, <-results)
		assert.NilError(t, <-results)
		refused := get(fast)
		assert.Equal(t, refused.Code, http.StatusServiceUnavailable)
		assert.Assert(t, json.Valid(refused.Body.Bytes()), refused.Body)
		assert.Equal(t, m.InFlight(), 0)
	})
}

// Guards against an instance that drops the service at once when nothing is in
// flight, while the load balancer still sends requests to it.
func TestDrainWaitsForLoadBalancer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(Config{LoadBalancerDelay: 5 * time.Second, DrainTimeout: time.Minute})
		go func() { _ = m.Drain(context.Background()) }()
		time.Sleep(4900 * time.Millisecond)
		assert.Equal(t, m.State(), Draining)
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, m.State(), Closed)
	})
}

// Guards against an instance that closes while a ticket that it has issued can
// still be redeemed, which only this instance can do.
func TestDrainWaitsForTickets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var live atomic.Int64
		live.Store(1)
		m := New(Config{DrainTimeout: time.Minute, Live: func() int { return int(live.Load()) }})
		go func() { _ = m.Drain(context.Background()) }()
		time.Sleep(30 * time.Second)
		assert.Equal(t, m.State(), Draining)
		live.Store(0)
		time.Sleep(time.Second)
		assert.Equal(t, m.State(), Closed)
	})
}

// Guards against a shutdown that never ends, and against one that hides what
// it interrupted.
func TestDrainTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(Config{DrainTimeout: time.Second, Live: func() int { return 3 }})
		release := make(chan struct{})
		go get(m.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release })))
		synctest.Wait()
		var failure *DrainError
		assert.Assert(t, errors.As(m.Drain(context.Background()), &failure))
		assert.DeepEqual(t, failure, &DrainError{InFlight: 1, LiveTickets: 3})
		close(release)
	})
}

// Guards against a request that is accepted while the instance closes: each one
// is served before the state is Closed, or refused.
func TestCloseExcludesRequests(t *testing.T) {
	for range 2000 {
		m := New(Config{DrainTimeout: time.Minute})
		var late atomic.Bool
		h := m.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { late.Store(m.State() == Closed) }))
		var done sync.WaitGroup
		done.Go(func() { get(h) })
		done.Go(func() { assert.Check(t, m.Drain(context.Background())) })
		done.Wait()
		assert.Assert(t, !late.Load())
	}
}

// Guards against a panic of a handler that leaves a request in flight forever.
func TestPanicLeavesNoRequestInFlight(t *testing.T) {
	m := New(Config{})
	func() {
		defer func() { _ = recover() }()
		get(m.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })))
	}()
	assert.Equal(t, m.InFlight(), 0)
}

// Guards against a resent submission that has run and is refused as "not run"
// by an instance that has shut down.
func TestClosedInstanceStatesRunTruly(t *testing.T) {
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
