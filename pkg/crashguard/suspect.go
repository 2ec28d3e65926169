package crashguard

import "time"

// suspect is a request with crashes, oldest first. Older ones are dropped when
// there are more than maxCrashesPerSuspect.
type suspect struct {
	crashes []crash
}

// add records a crash and reports whether it was new. The same crash may be
// observed locally and be reported by several instances.
func (s *suspect) add(c crash) bool {
	for i := range s.crashes {
		known := &s.crashes[i]
		if known.serverID == c.serverID && within(known.at, c.at, sameCrashWindow) {
			if known.rack == "" {
				known.rack = c.rack
			}
			return false
		}
	}
	if len(s.crashes) >= maxCrashesPerSuspect {
		s.crashes = append(s.crashes[:0], s.crashes[1:]...)
	}
	s.crashes = append(s.crashes, c)
	return true
}

// last is the time of the newest crash. All crashes are kept until it is older
// than QuarantineTime, so that a quarantine does not end with its first crash.
func (s *suspect) last() time.Time {
	var last time.Time
	for _, c := range s.crashes {
		if c.at.After(last) {
			last = c.at
		}
	}
	return last
}

// before returns the crashes until the given time.
func (s *suspect) before(limit time.Time) []crash {
	var older []crash
	for _, c := range s.crashes {
		if !c.at.After(limit) {
			older = append(older, c)
		}
	}
	return older
}
