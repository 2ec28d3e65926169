package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxRanks is the number of owners that a backend server's connections are
// shared between.
const maxRanks = 3

// epoch is the result of a list, the drain notices and the suspicions that
// hold at one time. It is immutable, so readers need no lock.
type epoch struct {
	index      *memberIndex
	validUntil time.Time // zero when nothing expires by itself
	usable     []Instance
	owners     map[string][]Instance // by backend server id, rank 1 first
	owned      []OwnedServer
	// reduced holds the shards with draining servers, without those.
	reduced map[shardKey][]BackendServer
}

// sameOwners reports whether the rankings of old hold for e as well: drain
// notices of backend servers, the usual change, do not affect them.
func (e *epoch) sameOwners(old *epoch) bool {
	return old != nil && old.index == e.index && slices.Equal(old.usable, e.usable)
}

// validAt reports whether no notice or suspicion has expired since.
func (e *epoch) validAt(now time.Time) bool {
	return e.validUntil.IsZero() || now.Before(e.validUntil)
}

// expire shortens the epoch's validity to at.
func (e *epoch) expire(at time.Time) {
	if at.IsZero() {
		return
	}
	if e.validUntil.IsZero() || at.Before(e.validUntil) {
		e.validUntil = at
	}
}

// rank fills owners and owned from the usable instances.
func (e *epoch) rank(usable []candidate, self string) {
	zones := make(map[string][]candidate)
	for _, c := range usable {
		zones[c.Zone] = append(zones[c.Zone], c)
	}
	others := make(map[string][]candidate)
	e.owners = make(map[string][]Instance, len(e.index.servers))
	for id, server := range e.index.servers {
		hash := xxhash.Sum64String(id)
		owners := top(make([]Instance, 0, maxRanks), hash, zones[server.Zone], maxRanks)
		if len(owners) < maxRanks {
			owners = top(owners, hash, outside(others, usable, server.Zone), maxRanks)
		}
		e.owners[id] = owners
		if at := slices.IndexFunc(owners, func(o Instance) bool { return o.ID == self }); at >= 0 {
			e.owned = append(e.owned, OwnedServer{BackendServer: server, Rank: at + 1})
		}
	}
	slices.SortFunc(e.owned, compareOwned)
}

// outside returns the candidates of all other zones, memoized per zone.
func outside(memo map[string][]candidate, usable []candidate, zone string) []candidate {
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
