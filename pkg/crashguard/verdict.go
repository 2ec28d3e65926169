package crashguard

// verdict is what the crashes of a request amount to.
type verdict struct {
	crashes int // independent, unexplained crashes
	domains int // failure domains among them
}

// reaches reports whether the crashes suffice for quarantine. They must lie in
// different failure domains, since one broken server or rack may fail
// repeatedly. Crashes in a single domain suffice when there are
// singleDomainFactor times as many: while the other zones are down, all
// attempts of a poison request reach the same domain.
func (v verdict) reaches(limit int) bool {
	if v.crashes >= singleDomainFactor*limit {
		return true
	}
	return v.crashes >= limit && (limit == 1 || v.domains >= 2)
}

// judge counts the crashes that explained does not excuse. Crashes that may
// have one external cause count once.
func judge(crashes []crash, explained func(crash) bool) verdict {
	var v verdict
	var counted []crash
	domains := make(map[string]struct{}, len(crashes))
	for _, c := range crashes {
		if explained(c) || partOf(c, counted) {
			continue
		}
		counted = append(counted, c)
		domains[c.domain()] = struct{}{}
	}
	v.crashes = len(counted)
	v.domains = len(domains)
	return v
}

func partOf(c crash, counted []crash) bool {
	for _, other := range counted {
		if c.sameIncident(other) {
			return true
		}
	}
	return false
}
