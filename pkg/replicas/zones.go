package replicas

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/zonechoice"
)

const (
	// recentReply is how long the time of a server's latest reply says something about its
	// queue. Afterwards the usual latency of the route is expected of the server.
	recentReply = 2 * time.Second
	// bytesWeight is the weight of a new exchange in the average of a route. The first ones
	// weigh as in a plain average.
	bytesWeight = 0.05
)

// RoundTrips states the measured round trips to other availability zones.
type RoundTrips interface {
	// RoundTrip returns the least recent round trip to a zone. Known is false before the
	// first measurement.
	RoundTrip(zone string) (least time.Duration, known bool)
}

// zones is what decides about other availability zones. Without it a fixed factor does.
type zones struct {
	chooser  *zonechoice.Chooser
	trips    RoundTrips
	outgoing zonechoice.Outgoing
	bytes    map[string]*exchangeSize // by route
	relayed  map[relayedKey]*relayedTime
	sampled  map[string]time.Time // by zone: when its relays were last sampled
	view     zonechoice.View      // of the latest decision; reused
	best     []Choice             // best server of each zone in the latest decision; reused
}

// exchangeSize is the moving average of the bytes of a request and its reply.
type exchangeSize struct {
	mean  float64
	count int
}

// DecideZonesBy lets the chooser decide which first attempts leave this zone, in place of
// the fixed factor. It has to be called before the tracker is used.
func (t *Tracker) DecideZonesBy(chooser *zonechoice.Chooser, trips RoundTrips) {
	t.zones = &zones{chooser: chooser, trips: trips, bytes: make(map[string]*exchangeSize), relayed: make(map[relayedKey]*relayedTime), sampled: make(map[string]time.Time)}
}

// DrawZone returns a value from 0 to 1 for a new request on a route. The request leaves
// this zone for the services whose share sent out is above it.
func (t *Tracker) DrawZone(route string) float64 {
	if t.zones == nil {
		return 1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.zones.chooser.Draw(route)
}

// RecordFirst counts a first attempt that is sent to a zone.
func (t *Tracker) RecordFirst(zone string, now time.Time) {
	if t.zones == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if zone == t.zone {
		zone = ""
	}
	t.zones.outgoing.Record(zone, now)
}

// RecordRelayed records whether a relay in a zone has delivered a part of a service in time.
func (t *Tracker) RecordRelayed(service, zone string, inTime bool, now time.Time) {
	if t.zones == nil || zone == t.zone {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.zones.chooser.RecordPart(service, zone, inTime, now)
}

// RecordExchange records the bytes of a request and its reply.
func (t *Tracker) RecordExchange(route string, bytes int) {
	if t.zones == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	size := t.zones.bytes[route]
	if size == nil {
		size = &exchangeSize{}
		t.zones.bytes[route] = size
	}
	size.count++
	size.mean += max(bytesWeight, 1/float64(size.count)) * (float64(bytes) - size.mean)
}

// Outgoing returns the share of first attempts that were recently sent to each other zone,
// and nil if a fixed factor decides.
func (t *Tracker) Outgoing(now time.Time) map[string]float64 {
	if t.zones == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.zones.outgoing.Shares(now)
}

// RoundTrip returns the round trip to a server's zone that an attempt waits for besides the
// server's work; 0 in this zone, when it is unknown, and when a fixed factor decides.
func (t *Tracker) RoundTrip(s *directory.Server) time.Duration {
	if t.zones == nil || s.Zone == t.zone {
		return 0
	}
	trip, _ := t.zones.trips.RoundTrip(s.Zone)
	return trip
}

// ChooseFirst is Choose for a first attempt. The zone is decided first, by the draw of the
// request and the share that leaves; then the server with the lowest score of that zone.
func (t *Tracker) ChooseFirst(candidates []*directory.Server, route string, draw float64, excluded func(id string) bool, now time.Time) (Choice, bool) {
	if t.zones == nil || len(candidates) == 0 {
		return t.Choose(candidates, route, excluded, now)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	z := t.zones
	z.best = z.best[:0]
	for _, candidate := range candidates {
		if excluded(candidate.ID) {
			continue
		}
		if choice, usable := t.evaluateLocked(candidate, route, now); usable {
			z.keepBest(choice)
		}
	}
	zone := t.zone
	if target, leaves := z.chooser.Decide(t.viewLocked(candidates[0].Service, route, draw, now), now); leaves {
		zone = target
	}
	var best Choice
	found := false
	for _, choice := range z.best {
		if choice.Server.Zone == zone {
			return choice, true
		}
		t.addWayLocked(&choice, route, z.chooser.CostPerKiB())
		if !found || choice.Score < best.Score {
			best, found = choice, true
		}
	}
	return best, found
}

// ChooseHedge is Choose for a hedge. The cost of bytes does not count, since the answer
// waits.
func (t *Tracker) ChooseHedge(candidates []*directory.Server, route string, excluded func(id string) bool, now time.Time) (Choice, bool) {
	return t.choose(candidates, route, 0, excluded, now)
}

// keepBest keeps a choice if it has the lowest score of its zone. Zones are ordered by name.
func (z *zones) keepBest(choice Choice) {
	i := 0
	for ; i < len(z.best) && z.best[i].Server.Zone <= choice.Server.Zone; i++ {
		if z.best[i].Server.Zone != choice.Server.Zone {
			continue
		}
		if choice.Score < z.best[i].Score {
			z.best[i] = choice
		}
		return
	}
	z.best = append(z.best, Choice{})
	copy(z.best[i+1:], z.best[i:])
	z.best[i] = choice
}

// viewLocked describes the best servers of the zones. Ejected servers are not usable.
func (t *Tracker) viewLocked(service, route string, draw float64, now time.Time) *zonechoice.View {
	v := &t.zones.view
	*v = zonechoice.View{Service: service, Others: v.Others[:0], Usual: t.latencies[route].usualOrTypical(), Bytes: t.bytesLocked(route), Draw: draw}
	for i := range t.zones.best {
		choice := &t.zones.best[i]
		switch {
		case choice.Ejected:
		case choice.Server.Zone == t.zone:
			v.Usable, v.Here = true, t.zoneLocked(choice, route, now)
		default:
			v.Others = append(v.Others, t.zoneLocked(choice, route, now))
		}
	}
	return v
}

func (t *Tracker) zoneLocked(choice *Choice, route string, now time.Time) zonechoice.Zone {
	limited := choice.ExpectedLatency != 0
	z := zonechoice.Zone{
		Name:     choice.Server.Zone,
		Expected: t.expectedLocked(choice, route, now),
		Queued:   choice.AtCapacity,
		Paused:   choice.Stalled && !limited,
		Waits:    choice.RateDelay > 0,
		Full:     choice.AtLimit || choice.Stalled && limited,
	}
	if z.Name != t.zone {
		z.RoundTrip, z.RoundTripKnown = t.zones.trips.RoundTrip(z.Name)
	}
	return z
}

// expectedLocked returns the expected response time of a server without the way to it. The
// reply times of a server already contain its queue, so running attempts only count when
// they fill its capacity.
func (t *Tracker) expectedLocked(choice *Choice, route string, now time.Time) time.Duration {
	state := choice.state
	usual := float64(t.latencies[route].usualOrTypical())
	ratio := 1.0
	if !state.lastAttemptEnd.IsZero() && now.Sub(state.lastAttemptEnd) < recentReply {
		ratio = state.usualRatio
	} else if t.zones != nil && choice.Server.Zone != t.zone {
		if relayed, known := t.zones.relayedRatio(choice.Server.Service, choice.Server.Zone, now); known {
			ratio = relayed
		}
	}
	if cold, _ := t.coldness(choice.Server, state.statedColdUntil, now); cold {
		ratio = max(ratio, coldSlowness)
	}
	expected := usual * ratio
	capacity := max(choice.Server.Capacity, 1)
	if len(state.running) >= capacity {
		expected *= 1 + float64(len(state.running))/float64(capacity)
	}
	expected *= 1 + errorFactor*state.errorRate
	if choice.AtLimit {
		expected += float64(choice.ExpectedLatency)
	}
	return time.Duration(expected)
}

// addWayLocked adds the way to another zone to the score of a server there.
func (t *Tracker) addWayLocked(choice *Choice, route string, costPerKiB time.Duration) {
	if t.zones == nil || choice.Server.Zone == t.zone {
		return
	}
	typical := t.latencies[route].get()
	z := zonechoice.Zone{Expected: time.Duration(choice.base * float64(typical))}
	z.RoundTrip, z.RoundTripKnown = t.zones.trips.RoundTrip(choice.Server.Zone)
	choice.Score += float64(zonechoice.Way(&z, t.bytesLocked(route), costPerKiB)) / float64(typical)
}

func (t *Tracker) bytesLocked(route string) float64 {
	if size := t.zones.bytes[route]; size != nil {
		return size.mean
	}
	return 0
}

// withoutWay returns the part of a reply time that the server took. The least recent round
// trip can be longer than that of one exchange; a quarter of the time is kept in any case.
func (t *Tracker) withoutWay(s *directory.Server, took time.Duration) time.Duration {
	return max(took-t.RoundTrip(s), took/4)
}

// DecidesZones reports whether the zone of a first attempt is decided before its server.
func (t *Tracker) DecidesZones() bool { return t.zones != nil }
