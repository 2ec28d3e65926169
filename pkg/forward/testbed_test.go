package forward

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/replicas"
	"github.com/sycamorelift/sycamorelift/pkg/retrybudget"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
	"github.com/sycamorelift/sycamorelift/pkg/shedding"
	"github.com/sycamorelift/sycamorelift/pkg/suspects"
)

const (
	localZone  = "here"
	remoteZone = "there"
	work       = 15 * time.Millisecond
)

// behaviour simulates how a backend server handles a request. It returns at the latest
// when ctx ends.
type behaviour func(ctx context.Context, call Call) (*Reply, error)

// testbed is an engine with simulated backend servers, whose behaviour a test sets. It
// runs on the virtual clock of synctest.
type testbed struct {
	directory *directory.Directory
	budget    *retrybudget.Budget
	engine    *Engine
	relays    map[string]Relay    // by zone
	suspects  []*suspects.Tracker // of all instances
	reports   atomic.Int32        // of suspects
	// reportDelay returns how long a report takes; nil means that it arrives at once.
	reportDelay func() time.Duration
	// serverDown is ServerDown of the client; nil means that each server is down.
	serverDown func(*directory.Server) (bool, func() bool)

	mu       sync.Mutex
	servers  map[string]behaviour // by id; a server without an entry answers after work
	busy     map[string]time.Time // by server id: until when attempts wait for a connection
	arrivals []string             // "service server" of each counted request, in order
	lateness []LatenessChange

	replyBytes int64 // bound on the bytes of replies; set before requests are sent
}

var testLimits = retrybudget.Limits{Ratio: 0.2, Allowance: 100, Window: 10 * time.Second}

func newTestbed() *testbed {
	tb := &testbed{servers: map[string]behaviour{}, busy: map[string]time.Time{}, relays: map[string]Relay{}, replyBytes: 1 << 20}
	tb.directory = directory.New(3*time.Second, time.Now)
	tb.budget = retrybudget.New(testLimits, func() float64 { return 1 }, func() time.Duration { return time.Hour })
	tb.engine = tb.newEngine(localZone, tb)
	return tb
}

// newEngine returns an instance in the zone, with the servers of the testbed.
func (tb *testbed) newEngine(zone string, relays Relays) *Engine {
	tracker := suspects.NewTracker(func(suspects.Change) {})
	tb.suspects = append(tb.suspects, tracker)
	return New(Config{
		Directory:        tb.directory,
		Tracker:          replicas.New(zone, tb, ignoreChange),
		Suspects:         tracker,
		Budget:           tb.budget,
		Client:           tb,
		Zone:             zone,
		Relays:           relays,
		Sharing:          tb,
		OnLatenessChange: tb.observe,
		OnOverload:       func(bool) {},
		Replies:          shedding.NewBytes(func() int64 { return tb.replyBytes }),
		OnSuspect: func(s suspects.Suspect) {
			tb.reports.Add(1)
			for _, other := range tb.suspects {
				if tb.reportDelay == nil {
					other.Merge(s)
					continue
				}
				time.AfterFunc(tb.reportDelay(), func() { other.Merge(s) })
			}
		},
	})
}

func (tb *testbed) observe(c LatenessChange) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.lateness = append(tb.lateness, c)
}

func ignoreChange(replicas.Change) {}

func (tb *testbed) ZoneShare() float64   { return 1 }
func (tb *testbed) RemoteInstances() int { return 1 }

// RateShare implements replicas.RateSharing. All instances have equal shares.
func (tb *testbed) RateShare(_, _ string, limit float64) float64 {
	return limit / float64(max(len(tb.suspects), 1))
}

func (tb *testbed) Pick(zone string) Relay { return tb.relays[zone] }
func (tb *testbed) Stronger() Relay        { return tb.relays[localZone] }

// Call implements BackendClient.
func (tb *testbed) Call(ctx context.Context, call Call) (*Reply, error) {
	tb.mu.Lock()
	act, busy := tb.servers[call.Server.ID], tb.busy[call.Server.ID]
	tb.mu.Unlock()
	if !busy.IsZero() {
		select {
		case <-time.After(time.Until(busy)):
		case <-call.Leaves:
			return nil, &CallError{Detail: "backend server leaves"}
		case <-ctx.Done():
			return nil, &CallError{Detail: "no connection", Cause: ctx.Err()}
		}
	}
	if act == nil {
		act = answersAfter(work)
	}
	if !call.Send() {
		return nil, &CallError{Detail: "no longer needed"}
	}
	return act(ctx, call)
}

// ServerDown implements BackendClient. A server that has lost a connection is down unless the test
// says otherwise.
func (tb *testbed) ServerDown(server *directory.Server) (down bool, later func() bool) {
	if tb.serverDown == nil {
		return true, nil
	}
	return tb.serverDown(server)
}

func (tb *testbed) recordArrival(call Call) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.arrivals = append(tb.arrivals, call.Server.Service+" "+call.Server.ID)
}

// setBehaviour sets the behaviour of a server. Wrap it in counted to record the server's
// requests as arrivals.
func (tb *testbed) setBehaviour(id string, act behaviour) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.servers[id] = act
}

// occupy lets attempts at a server wait for a connection for d.
func (tb *testbed) occupy(id string, d time.Duration) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.busy[id] = time.Now().Add(d)
}

// drain lists a server as one that leaves, after d.
func (tb *testbed) drain(service, id, zone string, d time.Duration) {
	time.AfterFunc(d, func() {
		tb.directory.Put(directory.Entry{
			Server:   membership.BackendServer{ID: id, Service: service, Zone: zone, Address: "10.0.0.1:1", State: membership.StateLeaving},
			Capacity: 2,
		})
	})
}

func (tb *testbed) counted(act behaviour) behaviour {
	return func(ctx context.Context, call Call) (*Reply, error) {
		tb.recordArrival(call)
		return act(ctx, call)
	}
}

func (tb *testbed) arrivalCount() int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return len(tb.arrivals)
}

// addService lists two servers: "name.a" in the local zone, "name.b" in the remote zone.
func (tb *testbed) addService(name string) {
	tb.addServer(name, name+".a", localZone)
	tb.addServer(name, name+".b", remoteZone)
}

func (tb *testbed) addServer(service, id, zone string) {
	tb.setBehaviour(id, tb.counted(answersAfter(work))) // first, since a listed server may be asked at once
	tb.directory.Put(directory.Entry{
		Server:   membership.BackendServer{ID: id, Service: service, Zone: zone, Address: "10.0.0.1:1", State: membership.StateLive},
		Capacity: 2,
	})
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

// refuses immediately replies that it has not run the request.
func refuses(context.Context, Call) (*Reply, error) {
	return &Reply{Status: 503, NotRun: true}, nil
}

// unreachable refuses the connection.
func unreachable(context.Context, Call) (*Reply, error) {
	return nil, &CallError{Detail: "connection refused"}
}

// crashes closes the connection while it runs the request.
func crashes(ctx context.Context, _ Call) (*Reply, error) {
	if err := waitFor(ctx, work); err != nil {
		return nil, err
	}
	return nil, connectionLost()
}

func connectionLost() *CallError {
	return &CallError{Sent: true, ConnectionLost: true, Detail: "connection lost"}
}

// fails replies with an error of the server itself.
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

// shardedRoute returns a route over n new services. An answer needs the given share of them.
func (tb *testbed) shardedRoute(n int, share float64) *routing.Route {
	route := &routing.Route{Name: "sharded", Repeatable: true, TargetLatency: 150 * time.Millisecond, Timeout: 1200 * time.Millisecond, MaxAttempts: 2, TopK: 10, MinShardShare: share}
	for i := range n {
		name := fmt.Sprintf("s%02d", i)
		tb.addService(name)
		route.Shards = append(route.Shards, name)
	}
	return route
}

// singleRoute returns a route to one new service.
func (tb *testbed) singleRoute(repeatable bool) *routing.Route {
	tb.addService("one")
	return &routing.Route{Name: "single", Repeatable: repeatable, TargetLatency: 500 * time.Millisecond, Timeout: 5 * time.Second, MaxAttempts: 2, WeightedServices: []routing.WeightedService{{Service: "one", Weight: 1}}}
}

// wideRoute returns a route to one new service with the given number of servers.
func (tb *testbed) wideRoute(servers int) *routing.Route {
	route := tb.singleRoute(true)
	for n := range servers - 2 {
		tb.addServer("one", fmt.Sprintf("one.%d", n), localZone)
	}
	return route
}

// ask forwards one request and returns its answer and the time that it took.
func (tb *testbed) ask(ctx context.Context, route *routing.Route) (*Answer, time.Duration) {
	began := time.Now()
	table := routing.NewTable(1, nil, nil, routing.Limits{})
	answer := tb.engine.Forward(ctx, table, route, &Request{ID: "id", Method: "GET", Target: "/x/1", Arrived: began})
	return answer, time.Since(began)
}

// warmUp sends requests until the engine has a latency estimate of the route, and then
// forgets their arrivals.
func (tb *testbed) warmUp(route *routing.Route) {
	for range 5 {
		tb.ask(context.Background(), route)
	}
	time.Sleep(11 * time.Second) // longer than the window of the budget
	tb.ask(context.Background(), route)
	tb.mu.Lock()
	tb.arrivals = nil
	tb.mu.Unlock()
}

// simulate runs a test with a new testbed on a virtual clock.
func simulate(t *testing.T, f func(t *testing.T, tb *testbed)) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed()
		defer time.Sleep(time.Minute) // lets all attempts end, even if the test has failed
		f(t, tb)
	})
}

func serverIn(zone string) membership.BackendServer { return membership.BackendServer{Zone: zone} }

type fleetSize struct{ all, zone int }

func (s fleetSize) ZoneShare() float64   { return 1 / float64(s.zone) }
func (s fleetSize) RemoteInstances() int { return s.all - s.zone }
