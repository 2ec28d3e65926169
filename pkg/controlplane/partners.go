package controlplane

import (
	"math/rand/v2"
	"slices"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// pickPartners returns up to n distinct instances other than self in random
// order. Suspected and leaving ones follow only when the usable ones do not
// suffice, so that a wrong suspicion cannot isolate this instance.
func pickPartners(self string, usable, listed []membership.Instance, n int, random *rand.Rand) []membership.Instance {
	partners := sample(self, usable, n, random)
	if len(partners) == n || len(usable) >= len(listed) {
		return partners
	}
	others := slices.DeleteFunc(slices.Clone(listed), func(i membership.Instance) bool {
		return contains(usable, i.ID)
	})
	return append(partners, sample(self, others, n-len(partners), random)...)
}

// sample returns up to n distinct instances other than self in random order. A
// few of many are drawn by index, because copying a large list for every
// exchange costs more than the exchange.
func sample(self string, from []membership.Instance, n int, random *rand.Rand) []membership.Instance {
	if len(from) < 4*(n+1) {
		others := without(from, self)
		random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		return others[:min(n, len(others))]
	}
	picked := make([]membership.Instance, 0, n)
	for len(picked) < n {
		drawn := from[random.IntN(len(from))]
		if drawn.ID != self && !contains(picked, drawn.ID) {
			picked = append(picked, drawn)
		}
	}
	return picked
}

// pickAcrossZones is pickPartners with one usable instance of each availability
// zone before a second one of any.
func pickAcrossZones(self string, usable, listed []membership.Instance, n int, random *rand.Rand) []membership.Instance {
	var first, rest []membership.Instance
	zones := make(map[string]bool)
	for _, instance := range pickPartners(self, usable, listed, len(listed), random) {
		if zones[instance.Zone] || !contains(usable, instance.ID) {
			rest = append(rest, instance)
			continue
		}
		zones[instance.Zone] = true
		first = append(first, instance)
	}
	picked := append(first, rest...)
	return picked[:min(n, len(picked))]
}

func contains(instances []membership.Instance, id string) bool {
	return slices.ContainsFunc(instances, func(i membership.Instance) bool { return i.ID == id })
}

func without(instances []membership.Instance, self string) []membership.Instance {
	others := make([]membership.Instance, 0, len(instances))
	for _, instance := range instances {
		if instance.ID != self {
			others = append(others, instance)
		}
	}
	return others
}
