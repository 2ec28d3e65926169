package zonechoice

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	usual         = 10 * time.Millisecond
	tick          = 10 * time.Millisecond
	perInstance   = 1 // requests of each instance in each tick
	instances     = 10
	simulatedTrip = 2 * time.Millisecond
	// longestWait is when a caller gives up; it bounds the queue of a full zone.
	longestWait = 200 * time.Millisecond
	// forgotten is how long an instance goes by its last reply of a zone.
	forgotten = 2 * time.Second
)

// pool simulates the servers of one service in one zone as a queue of fluid.
type pool struct {
	name     string
	rate     float64 // requests that it completes in a tick
	queue    float64 // requests
	arriving float64 // in this tick
	absent   bool
	history  []time.Duration // response time by tick
}

func (p *pool) step() {
	load := min(p.arriving/max(p.rate, 1), 1)
	p.queue = min(max(p.queue+p.arriving-p.rate, 0), p.rate*float64(longestWait/tick))
	p.arriving = 0
	wait := time.Duration(p.queue / max(p.rate, 1) * float64(tick))
	p.history = append(p.history, time.Duration(float64(usual)*(1+math.Pow(load, 4)/2))+wait)
}

func (p *pool) response() time.Duration { return p.history[len(p.history)-1] }

// node is one simulated instance. It sees only its own replies.
type node struct {
	zone    int
	demand  float64 // requests in a tick
	due     float64
	chooser *Chooser
	seen    []time.Duration // response time of the last reply of each zone
	seenAt  []time.Time
	shares  []float64 // by tick
}

// world is a simulation of two or more zones with a clock that the test drives.
type world struct {
	now     time.Time
	pools   []*pool
	nodes   []*node
	took    []time.Duration // sum of all requests of a zone's callers, round trips included
	asked   []int
	changes []Change
	stays   bool // the feature is off: a request leaves only if its zone has no server
}

// newWorld returns zones that complete the given multiples of their usual demand.
func newWorld(costPerKiB time.Duration, seed uint64, rates ...float64) *world {
	w := &world{now: time.Unix(1000, 0), took: make([]time.Duration, len(rates)), asked: make([]int, len(rates))}
	random := rand.New(rand.NewPCG(seed, 1)).Float64
	for i, rate := range rates {
		w.pools = append(w.pools, &pool{name: fmt.Sprint("z", i), rate: rate * instances * perInstance, history: []time.Duration{usual}})
		for range instances {
			w.nodes = append(w.nodes, &node{
				zone: i, demand: perInstance,
				chooser: New(costPerKiB, random, func(c Change) { w.changes = append(w.changes, c) }),
				seen:    make([]time.Duration, len(rates)), seenAt: make([]time.Time, len(rates)),
			})
		}
	}
	return w
}

func (w *world) run(d time.Duration) *world {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(tick) {
		for _, n := range w.nodes {
			for n.due += n.demand; n.due >= 1; n.due-- {
				w.ask(n)
			}
			share, _ := n.chooser.Share("s")
			n.shares = append(n.shares, share)
		}
		for _, p := range w.pools {
			p.step()
		}
	}
	return w
}

// observed describes a zone as an instance sees it.
func (w *world) observed(n *node, zone int) Zone {
	expected := usual
	if w.now.Sub(n.seenAt[zone]) < forgotten {
		expected = n.seen[zone]
	}
	return Zone{Name: w.pools[zone].name, Expected: expected, RoundTrip: simulatedTrip, RoundTripKnown: true}
}

func (w *world) view(n *node) *View {
	v := &View{Service: "s", Usable: !w.pools[n.zone].absent, Here: w.observed(n, n.zone), Usual: usual, Bytes: 512, Draw: n.chooser.Draw("r")}
	for i, p := range w.pools {
		if i != n.zone && !p.absent {
			v.Others = append(v.Others, w.observed(n, i))
		}
	}
	return v
}

func (w *world) ask(n *node) {
	v := w.view(n)
	zone := n.zone
	if target, leaves := n.chooser.Decide(v, w.now); leaves && (!w.stays || !v.Usable) {
		zone = slices.IndexFunc(w.pools, func(p *pool) bool { return p.name == target })
	}
	p := w.pools[zone]
	p.arriving++
	n.seen[zone], n.seenAt[zone] = p.response(), w.now
	w.asked[n.zone]++
	w.took[n.zone] += p.response()
	if zone != n.zone {
		w.took[n.zone] += simulatedTrip
	}
}

// share returns the mean share that leaves a zone now.
func (w *world) share(zone int) float64 {
	sum := 0.0
	for _, n := range w.nodes {
		if n.zone == zone {
			sum += n.shares[len(n.shares)-1] / instances
		}
	}
	return sum
}

// meanTime returns the mean response time of the callers in a zone since the last reset.
func (w *world) meanTime(zone int) time.Duration {
	return w.took[zone] / time.Duration(max(w.asked[zone], 1))
}

func (w *world) reset() *world {
	clear(w.took)
	clear(w.asked)
	return w
}
