package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
	"github.com/sycamorelift/sycamorelift/pkg/suspects"
)

// crashPlan is a drawn course of events: a crashing request that comes again, several times at
// the same moment, beside harmless requests.
type crashPlan struct {
	Instances   int
	Route       string          // "single", "unsafe" or "sharded"
	Rounds      []time.Duration // pauses between repeats of the crashing request
	AtOnce      []int           // copies of it in each round, 1 to 4
	CrashAfter  time.Duration   // how long a server runs it before it crashes
	Downtime    time.Duration   // until a new run of a crashed server answers
	ReportDelay time.Duration   // longest time that a report takes
	Harmless    []time.Duration // start times of harmless requests
	Seed        uint64          // of the report delays and of the choice of instances
}

func drawCrashPlan(t *rapid.T) crashPlan {
	ms := func(low, high int, name string) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Millisecond
	}
	p := crashPlan{
		Instances:   rapid.IntRange(2, 6).Draw(t, "instances"),
		Route:       rapid.SampledFrom([]string{"single", "unsafe", "sharded"}).Draw(t, "route"),
		CrashAfter:  ms(0, 60, "crash after"),
		Downtime:    ms(1000, 3000, "downtime"),
		ReportDelay: ms(1, 500, "report delay"),
		Seed:        rapid.Uint64().Draw(t, "seed"),
	}
	for range rapid.IntRange(4, 14).Draw(t, "rounds") {
		p.Rounds = append(p.Rounds, ms(0, 5000, "pause"))
		p.AtOnce = append(p.AtOnce, rapid.IntRange(1, 4).Draw(t, "at once"))
	}
	for range rapid.IntRange(0, 30).Draw(t, "harmless requests") {
		p.Harmless = append(p.Harmless, ms(0, 12000, "start"))
	}
	return p
}

// crashModel plays a plan. A crashed server loses all requests that it runs and comes back as a
// new run.
type crashModel struct {
	*testbed
	plan    crashPlan
	route   *routing.Route
	engines []*Engine

	mu        sync.Mutex
	random    *rand.Rand
	down      map[string]chan struct{} // by run of a server: closed when it has crashed
	runs      map[string]int64         // latest run by server id; 0 while it is down
	crashes   []time.Time
	late      int             // crashes later than learnTime after the third
	answered  map[string]bool // harmless contents that a server has answered
	lost      map[string]int  // servers lost under a harmless content
	violation string
}

func newCrashModel(plan crashPlan) *crashModel {
	m := &crashModel{
		testbed: newTestbed(), plan: plan, random: rand.New(rand.NewPCG(plan.Seed, 0)),
		down: map[string]chan struct{}{}, runs: map[string]int64{}, answered: map[string]bool{}, lost: map[string]int{},
	}
	m.reportDelay = func() time.Duration {
		m.mu.Lock()
		defer m.mu.Unlock()
		return time.Duration(1 + m.random.Int64N(int64(plan.ReportDelay)))
	}
	m.engines = []*Engine{m.engine}
	for range plan.Instances - 1 {
		m.engines = append(m.engines, m.newEngine(localZone, m.testbed))
	}
	if plan.Route == "sharded" {
		m.route = m.shardedRoute(12, 0.5)
	} else {
		m.route = m.wideRoute(8)
		m.route.Repeatable = plan.Route == "single"
	}
	for id := range m.servers {
		m.restart(id)
		m.setBehaviour(id, m.run)
	}
	return m
}

// restart lists a new run of a server.
func (m *crashModel) restart(id string) {
	service := id[:len(id)-2]
	zone := localZone
	if id[len(id)-1] == 'b' {
		zone = remoteZone
	}
	started := time.Now().UnixMilli()
	m.mu.Lock()
	m.runs[id] = started
	m.mu.Unlock()
	m.directory.Put(directory.Entry{
		Server:   membership.BackendServer{ID: id, Service: service, Zone: zone, Address: "10.0.0.1:1", State: membership.StateLive},
		Capacity: 2,
		Started:  started,
	})
}

// run is the behaviour of every server.
func (m *crashModel) run(ctx context.Context, call Call) (*Reply, error) {
	m.mu.Lock()
	if m.runs[call.Server.ID] != call.Server.Started {
		m.mu.Unlock()
		return unreachable(ctx, call)
	}
	key := call.Server.Key()
	if m.down[key] == nil {
		m.down[key] = make(chan struct{})
	}
	down := m.down[key]
	m.mu.Unlock()
	target, took := call.Request.Target, work
	if target == crashingTarget {
		took = m.plan.CrashAfter
	}
	select {
	case <-time.After(took):
	case <-down:
		m.recordLoss(target)
		return nil, connectionLost()
	case <-ctx.Done():
		return nil, &CallError{Sent: true, Detail: "given up", Cause: ctx.Err()}
	}
	if target == crashingTarget {
		m.crash(call.Server, down)
		return nil, connectionLost()
	}
	m.mu.Lock()
	m.answered[target] = true
	m.mu.Unlock()
	return &Reply{Status: 200, Proof: "proof", Body: record(call.Server.Service)}, nil
}

func (m *crashModel) recordLoss(target string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lost[target]++
}

// crash ends a run of a server, unless another copy of the request has ended it at the same
// moment.
func (m *crashModel) crash(server *directory.Server, down chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runs[server.ID] != server.Started {
		return
	}
	now := time.Now()
	if len(m.crashes) >= crashesToLearn && now.Sub(m.crashes[crashesToLearn-1]) > learnTime {
		m.late++
	}
	m.crashes = append(m.crashes, now)
	m.runs[server.ID] = 0
	close(down)
	time.AfterFunc(m.plan.Downtime, func() { m.restart(server.ID) })
}

// send sends a request to an instance picked at random.
func (m *crashModel) send(target, id string) *Answer {
	m.mu.Lock()
	engine := m.engines[m.random.IntN(len(m.engines))]
	m.mu.Unlock()
	now := time.Now()
	request := &Request{ID: id, Method: "GET", Target: target, Host: "h", Arrived: now, Deadline: now.Add(1200 * time.Millisecond)}
	return engine.Forward(background, routing.NewTable(1, nil, nil, routing.Limits{}), m.route, request)
}

// repeatHarmless repeats a harmless request until it is served. It may be quarantined only if
// no server has answered it and as many servers were lost under it as a quarantine takes.
func (m *crashModel) repeatHarmless(target string) {
	for n := range 6 {
		answer := m.send(target, fmt.Sprint(target, n))
		if answer.Refusal == nil {
			return
		}
		m.mu.Lock()
		if answer.Refusal.Reason == CrashSuspect && (m.answered[target] || m.lost[target] < suspects.MaxLosses) {
			m.violation = fmt.Sprintf("harmless request %s is quarantined; answered by a server: %v, servers lost: %d", target, m.answered[target], m.lost[target])
		}
		m.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

// play plays the whole plan and lets all attempts and restarts end.
func (m *crashModel) play() {
	defer time.Sleep(time.Minute)
	var group sync.WaitGroup
	for n, start := range m.plan.Harmless {
		group.Go(func() {
			time.Sleep(start)
			m.repeatHarmless(fmt.Sprint("/x/harmless/", n))
		})
	}
	for n, pause := range m.plan.Rounds {
		for copy := range m.plan.AtOnce[n] {
			group.Go(func() { m.send(crashingTarget, fmt.Sprint("crash", n, "-", copy)) })
		}
		time.Sleep(pause)
	}
	group.Wait()
}

// Guards against a crashing request that is sent on because the losses were side by side, were
// seen by other instances, or became known late; and against a quarantine of harmless requests
// beside it that a server answers.
func TestCrashingRequestIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawCrashPlan(rt)
		var late, crashes int
		var violation string
		synctest.Test(t, func(*testing.T) {
			m := newCrashModel(plan)
			m.play()
			late, crashes, violation = m.late, len(m.crashes), m.violation
		})
		assert.Assert(rt, late <= allowedRepeats, "%d of %d crashes later than %v after the third", late, crashes, learnTime)
		assert.Assert(rt, violation == "", violation)
	})
}
