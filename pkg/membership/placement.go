package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxOwners is the number of instances that own a backend server, that is, that
// share the connections to it.
const maxOwners = 3

// placement is what follows from the platform's list, the drain notices and the
// suspicions at one time: which instances are usable, which of them own each
// backend server, and which replicas may get requests. It is immutable, so
// readers need no lock.
type placement struct {
	index      *memberIndex
	validUntil time.Time // when the next notice or suspicion expires; zero when none does
	usable     []Instance
	owners     map[string][]Instance // by backend server id, rank 1 first
	owned      []OwnedServer         // backend servers that this instance owns
	// reducedReplicas holds, for each shard that has draining backend servers, its
	// other replicas.
	reducedReplicas map[shardKey][]BackendServer
}

// sameOwners reports whether the owners of other hold for p as well. This saves
// the ranking after the most frequent change, a drain notice of a backend
// server, which does not affect the owners.
func (p *placement) sameOwners(other *placement) bool {
	return other != nil && other.index == p.index && slices.Equal(other.usable, p.usable)
}

// validAt reports whether p still applies at now, that is, whether no notice or
// suspicion that it depends on has expired.
func (p *placement) validAt(now time.Time) bool {
	return p.validUntil.IsZero() || now.Before(p.validUntil)
}

// limitValidity makes the placement end at the given time unless it ends
// earlier. The zero time sets no limit.
func (p *placement) limitValidity(at time.Time) {
	if at.IsZero() {
		return
	}
	if p.validUntil.IsZero() || at.Before(p.validUntil) {
		p.validUntil = at
	}
}

// rankOwners computes owners and owned from the usable instances. Instances in
// the availability zone of a backend server come first.
func (p *placement) rankOwners(usable []candidate, self string) {
	byZone := make(map[string][]candidate)
	for _, c := range usable {
		byZone[c.Zone] = append(byZone[c.Zone], c)
	}
	outsideZone := make(map[string][]candidate)
	p.owners = make(map[string][]Instance, len(p.index.servers))
	for id, server := range p.index.servers {
		hash := xxhash.Sum64String(id)
		owners := appendTopRanked(make([]Instance, 0, maxOwners), hash, byZone[server.Zone], maxOwners)
		if len(owners) < maxOwners {
			owners = appendTopRanked(owners, hash, candidatesOutside(outsideZone, usable, server.Zone), maxOwners)
		}
		p.owners[id] = owners
		if index := slices.IndexFunc(owners, func(o Instance) bool { return o.ID == self }); index >= 0 {
			p.owned = append(p.owned, OwnedServer{BackendServer: server, Rank: index + 1})
		}
	}
	slices.SortFunc(p.owned, compareOwned)
}

// candidatesOutside returns the usable candidates of all other availability
// zones. It keeps the result of each zone in memo.
func candidatesOutside(memo map[string][]candidate, usable []candidate, zone string) []candidate {
	if others, ok := memo[zone]; ok {
		return others
	}
	others := make([]candidate, 0, len(usable))
	for _, c := range usable {
		if c.Zone != zone {
			others = append(others, c)
		}
	}
	memo[zone] = others
	return others
}
