package forward

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/extras"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/replicas"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

const (
	here  = "here"
	there = "there"
	work  = 15 * time.Millisecond
)

// behaviour is what a backend server does with a request. It returns within the
// time of ctx.
type behaviour func(ctx context.Context, call Call) (*Reply, error)

// world is an engine over servers whose behaviour a test states, on the virtual
// clock of synctest.
type world struct {
	directory *directory.Directory
	budget    *extras.Budget
	engine    *Engine
	relays    map[string]Relay // by zone

	mu       sync.Mutex
	servers  map[string]behaviour // by id; answering after work when not stated
	arrivals []string             // "service server" in order
	lateness []LatenessChange
}

var testLimits = extras.Limits{Ratio: 0.2, Allowance: 100, Window: 10 * time.Second}

func newWorld() *world {
	w := &world{servers: map[string]behaviour{}, relays: map[string]Relay{}}
	w.directory = directory.New(3*time.Second, time.Now)
	w.budget = extras.New(testLimits, func() float64 { return 1 })
	w.engine = New(Config{
		Directory: w.directory,
		Tracker:   replicas.New(here, ignoreChange),
		Budget:    w.budget,
		Caller:    w,
		Zone:      here,
		Relays:    w,
		Sharing:   w,
		Observe:   w.observe,
	})
	return w
}

func (w *world) observe(c LatenessChange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateness = append(w.lateness, c)
}

func ignoreChange(replicas.Change) {}

func (w *world) ZoneShare() float64 { return 1 }
func (w *world) Remote() int        { return 1 }

func (w *world) Pick(zone string) Relay { return w.relays[zone] }
func (w *world) Stronger() Relay        { return w.relays[here] }

// Call implements Caller.
func (w *world) Call(ctx context.Context, call Call) (*Reply, error) {
	w.mu.Lock()
	act := w.servers[call.Server.ID]
	w.mu.Unlock()
	if act == nil {
		act = answersAfter(work)
	}
	return act(ctx, call)
}

func (w *world) arrive(call Call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, call.Server.Service+" "+call.Server.ID)
}

// set states the behaviour of a server; its requests are counted as arrivals
// unless it is unreachable.
func (w *world) set(id string, act behaviour) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers[id] = act
}

func (w *world) counted(act behaviour) behaviour {
	return func(ctx context.Context, call Call) (*Reply, error) {
		w.arrive(call)
		return act(ctx, call)
	}
}

func (w *world) arrived() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.arrivals)
}

// addService lists two servers, one in each zone: "name.a" here, "name.b" there.
func (w *world) addService(name string) {
	w.addServer(name, name+".a", here)
	w.addServer(name, name+".b", there)
}

func (w *world) addServer(service, id, zone string) {
	w.directory.Put(directory.Entry{
		Server:   membership.BackendServer{ID: id, Service: service, Zone: zone, Address: "10.0.0.1:1", State: membership.StateLive},
		Capacity: 2,
	})
	w.set(id, w.counted(answersAfter(work)))
}

func record(service string) []byte { return []byte(fmt.Sprintf("%-16s", service)) }

func answersAfter(d time.Duration) behaviour {
	return func(ctx context.Context, call Call) (*Reply, error) {
		if err := waitFor(ctx, d); err != nil {
			return nil, err
		}
		return &Reply{Status: 200, Proof: "proof-" + call.Server.Service, Body: record(call.Server.Service)}, nil
	}
}

// silent never replies.
func silent(ctx context.Context, _ Call) (*Reply, error) {
	return nil, waitFor(ctx, time.Hour)
}

// refuses states at once that it has not run the request.
func refuses(context.Context, Call) (*Reply, error) {
	return &Reply{Status: 503, NotRun: true}, nil
}

// unreachable refuses the connection.
func unreachable(context.Context, Call) (*Reply, error) {
	return nil, &CallError{Detail: "connection refused"}
}

// crashes closes the connection in the middle of the run.
func crashes(ctx context.Context, _ Call) (*Reply, error) {
	if err := waitFor(ctx, work); err != nil {
		return nil, err
	}
	return nil, &CallError{Sent: true, Detail: "connection lost"}
}

// fails replies with its own error.
func fails(ctx context.Context, _ Call) (*Reply, error) {
	if err := waitFor(ctx, work); err != nil {
		return nil, err
	}
	return &Reply{Status: 500, Proof: "proof-of-failure"}, nil
}

func waitFor(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return &CallError{Sent: true, Detail: "given up", Cause: ctx.Err()}
	}
}

// sharded is a route over n new services, of which required must be in.
func (w *world) sharded(n int, share float64) *routing.Route {
	route := &routing.Route{Name: "sharded", Repeatable: true, Target: 150 * time.Millisecond, Timeout: 1200 * time.Millisecond, MaxAttempts: 2, Top: 10, MinShare: share}
	for i := range n {
		name := fmt.Sprintf("s%02d", i)
		w.addService(name)
		route.Shards = append(route.Shards, name)
	}
	return route
}

// single is a route to one service.
func (w *world) single(repeatable bool) *routing.Route {
	w.addService("one")
	return &routing.Route{Name: "single", Repeatable: repeatable, Target: 500 * time.Millisecond, Timeout: 5 * time.Second, MaxAttempts: 2, Choices: []routing.Choice{{Service: "one", Weight: 1}}}
}

// ask sends one request and returns the answer and the time it took.
func (w *world) ask(ctx context.Context, route *routing.Route) (*Answer, time.Duration) {
	began := time.Now()
	table := routing.NewTable(1, nil, nil, routing.Limits{})
	answer := w.engine.Forward(ctx, table, route, &Request{ID: "id", Method: "GET", Target: "/x/1", Arrived: began})
	return answer, time.Since(began)
}

// settle teaches the engine the usual reply time of a route.
func (w *world) settle(route *routing.Route) {
	for range 5 {
		w.ask(context.Background(), route)
	}
	time.Sleep(11 * time.Second) // past the window of the budget
	w.ask(context.Background(), route)
	w.mu.Lock()
	w.arrivals = nil
	w.mu.Unlock()
}

// simulate runs a test on a virtual clock.
func simulate(t *testing.T, f func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		defer time.Sleep(time.Minute) // lets all attempts end, also after a failure
		f(t, w)
	})
}

func serverIn(zone string) membership.BackendServer { return membership.BackendServer{Zone: zone} }

type sizes struct{ all, zone int }

func (s sizes) ZoneShare() float64 { return 1 / float64(s.zone) }
func (s sizes) Remote() int        { return s.all - s.zone }
