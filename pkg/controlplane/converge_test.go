package controlplane

import (
	"testing"
	"time"
)

// TestPublishReachesAll guards against a change that does not spread from the
// readers to all instances within the 3 s of invariant 8.
func TestPublishReachesAll(t *testing.T) {
	for _, size := range []int{1, 2, 7, 40, 440} {
		n := newSimNetwork(size, 3, 7)
		n.advance(3 * time.Second)
		n.service.publishBundle(2, "b")
		n.advance(3 * time.Second)
		for _, s := range n.alive {
			if s.bundle().Revision != 2 {
				t.Errorf("%s of %d holds bundle %d", s.ID, size, s.bundle().Revision)
			}
		}
	}
}
