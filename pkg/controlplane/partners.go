package controlplane

import (
	"math/rand/v2"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// pickPartners returns up to n distinct instances other than self in random
// order. Usable instances come first; the others are asked only when no usable
// one is known, so that a wrong view cannot isolate this instance.
func pickPartners(self string, usable, listed []membership.Instance, n int, random *rand.Rand) []membership.Instance {
	partners := without(usable, self)
	if len(partners) == 0 {
		partners = without(listed, self)
	}
	random.Shuffle(len(partners), func(i, j int) { partners[i], partners[j] = partners[j], partners[i] })
	return partners[:min(n, len(partners))]
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
