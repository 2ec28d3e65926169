package suspects

import (
	"cmp"
	"slices"
	"time"
)

// Suspect is a request that may crash servers.
type Suspect struct {
	Fingerprint uint64 // of the request's content
	Losses      []Loss // by the time of their ends
	// Unanswered is set when a caller's request has ended with a loss and without a reply of any
	// server.
	Unanswered bool
}

// refute marks the loss of a run of a server as refuted and reports whether that is new.
func (s *Suspect) refute(server string, isRefuted func(Loss) bool) bool {
	for i, loss := range s.Losses {
		if loss.Server == server && !loss.Refuted && isRefuted(loss) {
			s.Losses[i].Refuted = true
			return true
		}
	}
	return false
}

func (s *Suspect) hasLost(server string) bool {
	return slices.ContainsFunc(s.Losses, func(loss Loss) bool { return loss.Server == server })
}

// add adds a loss, unless it is known: one run of a server is lost only once. Dropped is the
// server of the loss that had to go for it, possibly the new one, or empty.
func (s *Suspect) add(loss Loss) (added bool, dropped string) {
	if s.hasLost(loss.Server) {
		return loss.Refuted && s.refute(loss.Server, func(Loss) bool { return true }), ""
	}
	s.Losses = append(s.Losses, loss)
	slices.SortFunc(s.Losses, func(a, b Loss) int {
		return cmp.Or(a.Ended.Compare(b.Ended), cmp.Compare(a.Server, b.Server))
	})
	if len(s.Losses) <= maxLossesKept {
		return true, ""
	}
	dropped = s.dropOne()
	return dropped != loss.Server, dropped
}

// dropOne drops the last loss that counts, as long as enough are left for a quarantine, and
// otherwise the first refuted one. It returns the server of that loss. A refuted loss is kept
// rather than one that counts, since a report of another instance could bring it back as one
// that counts.
func (s *Suspect) dropOne() string {
	dropped := slices.IndexFunc(s.Losses, func(loss Loss) bool { return loss.Refuted })
	if indices := counted(s.Losses); len(indices) > MaxLosses {
		dropped = indices[len(indices)-1]
	}
	server := s.Losses[dropped].Server
	s.Losses = slices.Delete(s.Losses, dropped, dropped+1)
	return server
}

// expired reports whether the suspicion has ended.
func (s *Suspect) expired(now time.Time) bool {
	return len(s.Losses) == 0 || !now.Before(s.until())
}

// widelyLost reports whether the losses would quarantine the request if none was refuted.
func (s *Suspect) widelyLost() bool {
	return len(s.Losses) >= MaxLosses
}

// verdict returns how the request may be sent. Of an unanswered request a single loss quarantines it
// if that loss is decisive.
func (s *Suspect) verdict(decisive func(Loss) bool) Verdict {
	indices := counted(s.Losses)
	v := Verdict{Losses: len(indices), Latest: s.latest(), Until: s.until()}
	switch {
	case len(indices) >= MaxLosses:
		v.Since = s.Losses[indices[MaxLosses-1]].Ended
	case s.Unanswered:
		for _, i := range indices {
			if v.Since.IsZero() && decisive(s.Losses[i]) {
				v.Since = s.Losses[i].Ended
			}
		}
	}
	return v
}

func (s *Suspect) latest() time.Time { return s.Losses[len(s.Losses)-1].Ended }

func (s *Suspect) until() time.Time { return s.latest().Add(QuarantineTime) }

func (s *Suspect) clone() Suspect {
	return Suspect{Fingerprint: s.Fingerprint, Losses: slices.Clone(s.Losses), Unanswered: s.Unanswered}
}
