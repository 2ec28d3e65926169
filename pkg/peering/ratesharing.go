package peering

import (
	"cmp"
	"slices"
)

const (
	// remoteRateShare is the share of a server's rate limit for the instances of other
	// availability zones, which send it only hedges and retries. It comes on top of the
	// limit, which the instances of the server's zone share.
	remoteRateShare = 0.2
	// minSharedRate is the least number of requests a second that is worth a share of its
	// own: with the one request that each instance may send after idle time, smaller shares
	// would add up to far more than the limit.
	minSharedRate = 1.25
	// probeRateShare is the share of a limit for all instances that have no share of their own.
	// They find out with it, after a long time, whether the server still names a limit.
	probeRateShare = 0.05
)

// RateShare implements replicas.RateSharing. The instances of the server's zone share the limit
// by their processor time. When the limit is small, some instances, chosen by hash, get equal
// shares and the others next to nothing.
func (m *Members) RateShare(serverID, zone string, limit float64) float64 {
	v, self := m.view()
	local := v.known[zone]
	if zone == self.Zone {
		return share(serverID, self, local, limit)
	}
	if len(local) == 0 {
		return share(serverID, self, v.knownOutside(""), limit)
	}
	return share(serverID, self, v.knownOutside(zone), remoteRateShare*limit)
}

// share returns the part of a rate for one of the members among which it is divided.
func share(serverID string, self Member, members []Member, rate float64) float64 {
	if rate/minSharedRate >= float64(len(members)) {
		total := 0
		for _, member := range members {
			total += max(member.Millicores, 1)
		}
		return rate * float64(max(self.Millicores, 1)) / float64(max(total, 1))
	}
	sharers := min(max(int(rate/minSharedRate), 0), len(members)-1) // any number if the rate is none
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Compare(relayWeight(serverID, b), relayWeight(serverID, a))
	})
	if slices.ContainsFunc(ranked[:sharers], func(member Member) bool { return member.ID == self.ID }) {
		return rate / float64(sharers)
	}
	return probeRateShare * rate / float64(len(members)-sharers)
}
