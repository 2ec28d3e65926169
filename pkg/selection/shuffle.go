package selection

import (
	"slices"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// Shuffle returns the replicas in random order, the baseline that Order is compared with.
func (s *Selector) Shuffle(replicas []membership.BackendServer) []membership.BackendServer {
	shuffled := slices.Clone(replicas)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.random.Shuffle(len(shuffled), func(i, j int) {
		shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
	})
	return shuffled
}
