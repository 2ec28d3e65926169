package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/platform/platformtest"
)

// run is the work of a leaf on one request.
type run struct {
	leaf, id, operation string
	arrived             time.Time // when the leaf had read the request
	began, ended        time.Time // of the work; zero if there was none
	status              int       // of the answer; 0 if the connection ended first
	notRun              bool      // the leaf turned the request away and said so
}

// crashAfter is how long a request that crashes its leaf has been at work by then.
const crashAfter = 50 * time.Millisecond

// leaf is a server that keeps to PROTOCOL.md: slots and a queue, the time budget, the expected
// instance, the limit on connections, and work that ends with its connection.
type leaf struct {
	id, service, zone    string
	slots, queue         int
	maxConnections       int
	work                 func(operation string) time.Duration
	status               func(operation string) int  // after the work
	crashes              func(operation string) bool // the request crashes the leaf; nil for none
	onCrash              func(*leaf)
	mute                 func(operation string) bool // the request gets no answer; nil for none
	leavingAcked         time.Time
	born                 time.Time
	server               *http.Server
	listener             net.Listener
	slot                 chan struct{}
	mu                   sync.Mutex
	waiting, connections int
	runs                 []*run
	sequence             int
}

func newLeaf(n int, service, zone string) (*leaf, error) {
	l := &leaf{
		id: fmt.Sprintf("i-%s%d", service, n), service: service, zone: zone,
		slots: 4, queue: 16, maxConnections: 42, born: time.Now(),
		status: func(string) int { return http.StatusOK },
	}
	l.slot = make(chan struct{}, l.slots)
	var err error
	l.listener, err = net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.server = &http.Server{Handler: l, ConnState: l.countConnection}
	go func() { _ = l.server.Serve(l.listener) }() // ends with Close
	return l, nil
}

// countConnection resets the connections beyond the limit.
func (l *leaf) countConnection(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		l.connections++
		if l.connections > l.maxConnections {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		l.connections--
	}
}

// entry is what the leaf writes about itself.
func (l *leaf) entry(state string) string {
	l.sequence++
	return fmt.Sprintf(`{"backend":%q,"address":%q,"zone":%q,"version":"v1","capacity":%d,"state":%q,"warmup_left_ms":0,"sequence":%d,"born":%d}`,
		l.service, l.listener.Addr().String(), l.zone, l.slots, state, l.sequence, l.born.UnixMilli())
}

// close ends the leaf.
func (l *leaf) close() {
	l.mu.Lock()
	server := l.server
	l.mu.Unlock()
	_ = server.Close()
}

// ServeHTTP implements http.Handler.
func (l *leaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platformtest.HeaderRequestID)
	if expected := r.Header.Get(platformtest.HeaderServerID); expected != "" && expected != l.id {
		w.Header().Set("X-Sycamorelift-Instance-Id", l.id)
		l.answer(w, id, http.StatusMisdirectedRequest, "")
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	this := &run{leaf: l.id, id: id, operation: string(body), arrived: time.Now()}
	l.mu.Lock()
	l.runs = append(l.runs, this)
	l.mu.Unlock()
	if id == "" {
		l.refuse(w, this, http.StatusBadRequest)
		return
	}
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get(platformtest.HeaderTimeoutMs)); err == nil {
		limited, cancel := context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
		ctx = limited
	}
	if !l.takeSlot(ctx) {
		if r.Context().Err() == nil {
			l.refuse(w, this, http.StatusServiceUnavailable)
		}
		return
	}
	defer func() { <-l.slot }()
	l.begin(this)
	if l.crashes != nil && l.crashes(this.operation) {
		time.Sleep(crashAfter)
		l.onCrash(l)
		panic(http.ErrAbortHandler)
	}
	if l.mute != nil && l.mute(this.operation) {
		<-r.Context().Done()
		l.finish(this, 0)
		return
	}
	select {
	case <-time.After(l.work(this.operation)):
		l.finish(this, l.status(this.operation))
	case <-ctx.Done():
		if r.Context().Err() != nil {
			l.finish(this, 0) // the connection has ended, and the work with it
			return
		}
		l.finish(this, http.StatusGatewayTimeout)
	}
	l.answer(w, id, this.status, "seal."+l.service+"."+id)
}

// takeSlot waits in the queue for a slot. It returns false when the queue is full or ctx ends.
func (l *leaf) takeSlot(ctx context.Context) bool {
	select {
	case l.slot <- struct{}{}:
		return true
	default:
	}
	l.mu.Lock()
	full := l.waiting >= l.queue
	if !full {
		l.waiting++
	}
	l.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		l.mu.Lock()
		l.waiting--
		l.mu.Unlock()
	}()
	select {
	case l.slot <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *leaf) begin(this *run) {
	l.mu.Lock()
	this.began = time.Now()
	l.mu.Unlock()
}

func (l *leaf) finish(this *run, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	this.ended, this.status = time.Now(), status
}

func (l *leaf) refuse(w http.ResponseWriter, this *run, status int) {
	l.mu.Lock()
	this.notRun, this.status = true, status
	l.mu.Unlock()
	w.Header().Set(platformtest.HeaderNotRun, "1")
	l.answer(w, this.id, status, "")
}

func (l *leaf) answer(w http.ResponseWriter, id string, status int, seal string) {
	w.Header().Set(platformtest.HeaderRequestID, id)
	if seal != "" {
		w.Header().Set(platformtest.HeaderProof, seal)
	}
	w.WriteHeader(status)
	if status == http.StatusOK {
		_, _ = io.WriteString(w, "done "+id)
	}
}

// runsOf returns copies of all requests that have reached the leaf.
func (l *leaf) runsOf() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]run, 0, len(l.runs))
	for _, r := range l.runs {
		out = append(out, *r)
	}
	return out
}
