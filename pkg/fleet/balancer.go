package fleet

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// balancerLag is the time until the platform's load balancer notices a change
// of an instance's readiness.
const balancerLag = 500 * time.Millisecond

// balancer simulates the platform's load balancer: it chooses among the
// instances that were ready when it last looked.
type balancer struct {
	fleet *Fleet

	mu     sync.Mutex
	ready  []int     // guarded by mu
	looked time.Time // guarded by mu
}

// pick returns the instance for a random draw, other than the excluded ones.
func (b *balancer) pick(draw uint64, excluded map[int]bool) (int, error) {
	var candidates []int
	for _, number := range b.look() {
		if !excluded[number] {
			candidates = append(candidates, number)
		}
	}
	if len(candidates) == 0 {
		return 0, eris.New("no instance is ready")
	}
	return candidates[draw%uint64(len(candidates))], nil
}

func (b *balancer) look() []int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Since(b.looked) < balancerLag {
		return b.ready
	}
	b.ready = nil
	for number, m := range b.fleet.members {
		if m.ready() {
			b.ready = append(b.ready, number)
		}
	}
	b.looked = time.Now()
	return b.ready
}
