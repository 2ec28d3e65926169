package replicas

import "time"

const (
	// relaySampleInterval is the time between two calls to the relays of a zone whose parts
	// come one by one, not merged. Each gives a reply time for each of its shards; merged
	// parts wait for the slowest one.
	relaySampleInterval = 400 * time.Millisecond
	// relayedWeight is the weight of a new reply time, of which there are few.
	relayedWeight = 0.3
	// relayedZoneWeight is its weight in the average of all services of a zone.
	relayedZoneWeight = 0.03
	// recentRelayed is how long the reply times of a zone's relays say something about it.
	recentRelayed = 3 * time.Second
)

// relayedKey names a service in another zone whose servers a relay asks; the service is "" for
// all of the zone.
type relayedKey struct{ service, zone string }

// relayedTime is what an instance observes of servers that relays ask for it.
type relayedTime struct {
	ratio float64 // moving average of reply time / usual latency of the route
	at    time.Time
}

func (r *relayedTime) record(ratio, weight float64, now time.Time) {
	ratio = min(ratio, maxSlowness)
	if now.Sub(r.at) > recentRelayed {
		r.ratio = ratio
	}
	r.ratio += weight * (ratio - r.ratio)
	r.at = now
}

// SampleRelay reports whether the next call to a relay of the zone should return its parts
// one by one, so that their times can be recorded.
func (t *Tracker) SampleRelay(zone string, now time.Time) bool {
	if t.zones == nil || zone == t.zone {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.zones.sampled[zone]) < relaySampleInterval {
		return false
	}
	t.zones.sampled[zone] = now
	return true
}

// RecordRelayedTime records the time from a call to a relay in a zone until a part of a
// service.
func (t *Tracker) RecordRelayedTime(service, zone, route string, took time.Duration, now time.Time) {
	if t.zones == nil || zone == t.zone {
		return
	}
	trip, _ := t.zones.trips.RoundTrip(zone)
	t.mu.Lock()
	defer t.mu.Unlock()
	ratio := float64(max(took-trip, took/4)) / float64(t.latencies[route].usualOrTypical())
	t.zones.relayedOf(service, zone).record(ratio, relayedWeight, now)
	t.zones.relayedOf("", zone).record(ratio, relayedZoneWeight, now)
}

func (z *zones) relayedOf(service, zone string) *relayedTime {
	key := relayedKey{service, zone}
	relayed := z.relayed[key]
	if relayed == nil {
		relayed = &relayedTime{}
		z.relayed[key] = relayed
	}
	return relayed
}

// relayedRatio returns the reply time of the servers of a service in another zone, as a
// multiple of the usual latency: the mean of those servers, of which there are few times,
// and all servers of the zone.
func (z *zones) relayedRatio(service, zone string, now time.Time) (ratio float64, known bool) {
	own, all := z.relayed[relayedKey{service, zone}], z.relayed[relayedKey{"", zone}]
	if own == nil || now.Sub(own.at) >= recentRelayed {
		return 0, false
	}
	return (own.ratio + all.ratio) / 2, true
}

// sweepRelayed bounds the memory for services that no longer exist.
func (z *zones) sweepRelayed(now time.Time) {
	for key, relayed := range z.relayed {
		if now.Sub(relayed.at) >= forgetAfter {
			delete(z.relayed, key)
		}
	}
}
