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
	r := v.roster.Load()
	e := &epoch{}
	usable := v.usable(r, e, now)
	for _, c := range usable {
		e.usable = append(e.usable, c.Instance)
	}
	e.rank(r, usable, v.selfID)
	e.shards = v.replicas(r, e, now)
	return e
}

// usable returns the live instances without drain notice or suspicion. When
// nothing is left, this instance alone is usable: it can always reach itself.
func (v *View) usable(r *roster, e *epoch, now time.Time) []candidate {
	live := make([]candidate, 0, len(r.instances))
	for _, c := range r.instances {
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

// replicas returns the shards without leaving and draining backend servers.
func (v *View) replicas(r *roster, e *epoch, now time.Time) map[shardKey][]BackendServer {
	shards := make(map[shardKey][]BackendServer, len(r.shards))
	for key, all := range r.shards {
		kept := make([]BackendServer, 0, len(all))
		for _, server := range all {
			e.expire(v.drainedServers.end(server.ID, now))
			if server.State != StateLeaving && !v.drainedServers.isDraining(server.ID, now) {
				kept = append(kept, server)
			}
		}
		shards[key] = kept
	}
	return shards
}
