package controlplane

import (
	"math/rand/v2"
	"slices"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// pickPartners returns up to n distinct instances other than self in random
// order. Usable instances come first; the others are asked only when no usable
// one is known, so that a wrong view cannot isolate this instance.
func pickPartners(self string, usable, listed []membership.Instance, n int, random *rand.Rand) []membership.Instance {
	if partners := sample(self, usable, n, random); len(partners) > 0 {
		return partners
	}
	return sample(self, listed, n, random)
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
		isSame := func(i membership.Instance) bool { return i.ID == drawn.ID }
		if drawn.ID != self && !slices.ContainsFunc(picked, isSame) {
			picked = append(picked, drawn)
		}
	}
	return picked
}

// pickAcrossZones is pickPartners with one instance of each availability zone
// before a second one of any.
func pickAcrossZones(self string, usable, listed []membership.Instance, n int, random *rand.Rand) []membership.Instance {
	shuffled := pickPartners(self, usable, listed, len(usable)+len(listed), random)
	var picked, rest []membership.Instance
	zones := make(map[string]bool)
	for _, instance := range shuffled {
		if zones[instance.Zone] {
			rest = append(rest, instance)
			continue
		}
		zones[instance.Zone] = true
		picked = append(picked, instance)
	}
	picked = append(picked, rest...)
	return picked[:min(n, len(picked))]
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
