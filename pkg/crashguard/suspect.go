package crashguard

import "time"

// suspect holds the crashes that a request may have caused, in the order in which
// they became known. The first one is dropped when there are more than
// maxCrashesPerSuspect.
type suspect struct {
	crashes []crash
}

// add records a crash and reports whether it is new. This instance may observe a
// crash that several other instances report as well.
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

// lastCrash returns the time of the latest crash. All crashes are kept until
// QuarantineTime after it; if each crash expired by itself, a quarantine would
// end with its first crash.
func (s *suspect) lastCrash() time.Time {
	var last time.Time
	for _, c := range s.crashes {
		if c.at.After(last) {
			last = c.at
		}
	}
	return last
}

// crashesUntil returns the crashes that happened at end or earlier.
func (s *suspect) crashesUntil(end time.Time) []crash {
	var earlier []crash
	for _, c := range s.crashes {
		if !c.at.After(end) {
			earlier = append(earlier, c)
		}
	}
	return earlier
}
