package membership

import (
	"cmp"
	"slices"
	"time"
)

// suspectedInstance is an instance that calls have failed to reach, with the
// start of its suspicion.
type suspectedInstance struct {
	id    string
	since time.Time
}

// buildPlacement computes the placement that applies at now. The caller holds
// v.mu.
func (v *View) buildPlacement(now time.Time) *placement {
	p := &placement{index: v.index.Load()}
	usable := v.usableInstances(p, now)
	for _, c := range usable {
		p.usable = append(p.usable, c.Instance)
	}
	if p.sameOwners(v.lastBuilt) {
		p.owners, p.owned = v.lastBuilt.owners, v.lastBuilt.owned
	} else {
		p.rankOwners(usable, v.selfID)
	}
	v.fillReducedReplicas(p, now)
	v.lastBuilt = p
	return p
}

// usableInstances returns the live instances that are neither draining nor
// suspected. When there is none, it returns this instance alone, because an
// instance can always reach itself.
func (v *View) usableInstances(p *placement, now time.Time) []candidate {
	live := make([]candidate, 0, len(p.index.instances))
	for _, c := range p.index.instances {
		if c.State == StateLeaving {
			continue
		}
		if v.instanceDrains.isDraining(c.ID, now) {
			p.limitValidity(v.instanceDrains.endOf(c.ID, now))
			continue
		}
		live = append(live, c)
	}
	suspected := v.excludedSuspects(live, p, now)
	usable := slices.DeleteFunc(live, func(c candidate) bool { return suspected[c.ID] })
	if len(usable) == 0 {
		self := Instance{ID: v.selfID, Zone: v.selfZone, State: StateLive}
		usable = append(usable, newCandidate(self))
	}
	return usable
}

// excludedSuspects returns the instances to exclude because they are suspected.
// It excludes at most half of the live instances of an availability zone,
// longest suspected first: if calls to more of them fail, the likely cause is
// the network of this instance.
func (v *View) excludedSuspects(live []candidate, p *placement, now time.Time) map[string]bool {
	liveByZone := make(map[string]int)
	suspectsByZone := make(map[string][]suspectedInstance)
	for _, c := range live {
		liveByZone[c.Zone]++
		calls, ok := v.failures.suspectedRecord(c.ID, now)
		if !ok || c.ID == v.selfID {
			continue
		}
		p.limitValidity(calls.suspectedUntil)
		suspectsByZone[c.Zone] = append(suspectsByZone[c.Zone], suspectedInstance{c.ID, calls.suspectedSince})
	}
	excluded := make(map[string]bool)
	for zone, list := range suspectsByZone {
		slices.SortFunc(list, compareSuspects)
		for _, s := range list[:min(len(list), liveByZone[zone]/2)] {
			excluded[s.id] = true
		}
	}
	return excluded
}

func compareSuspects(a, b suspectedInstance) int {
	return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.id, b.id))
}

// fillReducedReplicas computes p.reducedReplicas.
func (v *View) fillReducedReplicas(p *placement, now time.Time) {
	p.reducedReplicas = make(map[shardKey][]BackendServer)
	for _, id := range v.serverDrains.drainingIDs(now) {
		server, listed := p.index.servers[id]
		if !listed {
			continue
		}
		p.limitValidity(v.serverDrains.endOf(id, now))
		key := shardKey{server.Team, server.Service, server.Shard}
		if _, done := p.reducedReplicas[key]; done {
			continue
		}
		p.reducedReplicas[key] = v.withoutDraining(p.index.shards[key], now)
	}
}

// withoutDraining returns the replicas that are not draining.
func (v *View) withoutDraining(replicas []BackendServer, now time.Time) []BackendServer {
	kept := make([]BackendServer, 0, len(replicas))
	for _, server := range replicas {
		if !v.serverDrains.isDraining(server.ID, now) {
			kept = append(kept, server)
		}
	}
	return kept
}
