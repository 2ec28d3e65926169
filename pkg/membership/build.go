package membership

import (
	"cmp"
	"slices"
	"time"
)

// suspect is a suspected instance with the start of its suspicion.
type suspect struct {
	id    string
	since time.Time
}

// build computes the epoch that holds at now. Caller holds v.mu.
func (v *View) build(now time.Time) *epoch {
	e := &epoch{index: v.index.Load()}
	usable := v.usable(e, now)
	for _, c := range usable {
		e.usable = append(e.usable, c.Instance)
	}
	if e.sameOwners(v.built) {
		e.owners, e.owned = v.built.owners, v.built.owned
	} else {
		e.rank(usable, v.selfID)
	}
	v.reduce(e, now)
	v.built = e
	return e
}

// usable returns the live instances without drain notice or suspicion. When
// nothing is left, this instance alone is usable: it can always reach itself.
func (v *View) usable(e *epoch, now time.Time) []candidate {
	live := make([]candidate, 0, len(e.index.instances))
	for _, c := range e.index.instances {
		if c.State == StateLeaving {
			continue
		}
		if v.drainedInstances.isDraining(c.ID, now) {
			e.expire(v.drainedInstances.end(c.ID, now))
			continue
		}
		live = append(live, c)
	}
	suspected := v.suspectedOf(live, e, now)
	usable := slices.DeleteFunc(live, func(c candidate) bool { return suspected[c.ID] })
	if len(usable) == 0 {
		self := Instance{ID: v.selfID, Zone: v.selfZone, State: StateLive}
		usable = append(usable, newCandidate(self))
	}
	return usable
}

// suspectedOf returns the instances excluded by suspicion: per availability
// zone at most half of the live ones, earliest suspicion first. More failures
// than that point to the observer's own network.
func (v *View) suspectedOf(live []candidate, e *epoch, now time.Time) map[string]bool {
	counts := make(map[string]int)
	suspects := make(map[string][]suspect)
	for _, c := range live {
		counts[c.Zone]++
		record, ok := v.suspicion.suspected(c.ID, now)
		if !ok || c.ID == v.selfID {
			continue
		}
		e.expire(record.until)
		suspects[c.Zone] = append(suspects[c.Zone], suspect{c.ID, record.since})
	}
	excluded := make(map[string]bool)
	for zone, list := range suspects {
		slices.SortFunc(list, compareSuspects)
		for _, s := range list[:min(len(list), counts[zone]/2)] {
			excluded[s.id] = true
		}
	}
	return excluded
}

func compareSuspects(a, b suspect) int {
	return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.id, b.id))
}

// reduce fills e.reduced with the shards that have draining servers.
func (v *View) reduce(e *epoch, now time.Time) {
	e.reduced = make(map[shardKey][]BackendServer)
	for _, id := range v.drainedServers.draining(now) {
		server, listed := e.index.servers[id]
		if !listed {
			continue
		}
		e.expire(v.drainedServers.end(id, now))
		key := shardKey{server.Team, server.Service, server.Shard}
		if _, done := e.reduced[key]; done {
			continue
		}
		e.reduced[key] = v.withoutDraining(e.index.shards[key], now)
	}
}

// withoutDraining returns the replicas that no drain notice holds for.
func (v *View) withoutDraining(replicas []BackendServer, now time.Time) []BackendServer {
	kept := make([]BackendServer, 0, len(replicas))
	for _, server := range replicas {
		if !v.drainedServers.isDraining(server.ID, now) {
			kept = append(kept, server)
		}
	}
	return kept
}
