package crashguard

// crashCount is the number of crashes that a request may have caused.
type crashCount struct {
	crashes int // independent crashes without another explanation
	domains int // failure domains in which these crashes happened
}

// reachesLimit reports whether the crashes suffice for a quarantine. They must lie
// in at least two failure domains, because one broken server or rack may fail
// repeatedly. Crashes in a single domain suffice when there are
// singleDomainFactor times as many: while the other zones are down, all attempts
// of a crashing request reach the same domain.
func (n crashCount) reachesLimit(limit int) bool {
	if n.crashes >= singleDomainFactor*limit {
		return true
	}
	return n.crashes >= limit && (limit == 1 || n.domains >= 2)
}

// countCrashes counts the crashes for which explained returns false. Crashes that
// may have one external cause count once.
func countCrashes(crashes []crash, explained func(crash) bool) crashCount {
	var count crashCount
	var counted []crash
	domains := make(map[string]struct{}, len(crashes))
	for _, c := range crashes {
		if explained(c) || belongsToCounted(c, counted) {
			continue
		}
		counted = append(counted, c)
		domains[c.failureDomain()] = struct{}{}
	}
	count.crashes = len(counted)
	count.domains = len(domains)
	return count
}

// belongsToCounted reports whether c may have the same external cause as a crash
// that is already counted.
func belongsToCounted(c crash, counted []crash) bool {
	for _, other := range counted {
		if c.sameIncident(other) {
			return true
		}
	}
	return false
}
