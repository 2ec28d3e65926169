package controlplane

import (
	"math/rand/v2"
	"slices"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// pickPartners returns up to n distinct instances other than self in random
// order. If there are fewer than n usable ones, the listed instances that are
// suspected or leaving follow them, so that a wrong suspicion cannot isolate this
// instance.
func pickPartners(self string, usable, listed []membership.Instance, n int, random *rand.Rand) []membership.Instance {
	partners := sample(self, usable, n, random)
	if len(partners) == n || len(usable) >= len(listed) {
		return partners
	}
	others := slices.DeleteFunc(slices.Clone(listed), func(i membership.Instance) bool {
		return containsID(usable, i.ID)
	})
	return append(partners, sample(self, others, n-len(partners), random)...)
}

// sample returns up to n distinct instances other than self in random order. It
// shuffles a copy of a short list. From a long list it draws random indexes and
// draws again for a duplicate, because copying a long list for every exchange costs
// more than the exchange itself.
func sample(self string, from []membership.Instance, n int, random *rand.Rand) []membership.Instance {
	if len(from) < 4*(n+1) {
		others := withoutID(from, self)
		random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		return others[:min(n, len(others))]
	}
	picked := make([]membership.Instance, 0, n)
	for len(picked) < n {
		drawn := from[random.IntN(len(from))]
		if drawn.ID != self && !containsID(picked, drawn.ID) {
			picked = append(picked, drawn)
		}
	}
	return picked
}

// pickAcrossZones returns up to n distinct instances other than self. One usable
// instance of each availability zone comes first, then all others as ordered by
// pickPartners.
func pickAcrossZones(self string, usable, listed []membership.Instance, n int, random *rand.Rand) []membership.Instance {
	var first, rest []membership.Instance
	zones := make(map[string]bool)
	for _, instance := range pickPartners(self, usable, listed, len(listed), random) {
		if zones[instance.Zone] || !containsID(usable, instance.ID) {
			rest = append(rest, instance)
			continue
		}
		zones[instance.Zone] = true
		first = append(first, instance)
	}
	picked := append(first, rest...)
	return picked[:min(n, len(picked))]
}

func containsID(instances []membership.Instance, id string) bool {
	return slices.ContainsFunc(instances, func(i membership.Instance) bool { return i.ID == id })
}

func withoutID(instances []membership.Instance, id string) []membership.Instance {
	others := make([]membership.Instance, 0, len(instances))
	for _, instance := range instances {
		if instance.ID != id {
			others = append(others, instance)
		}
	}
	return others
}
