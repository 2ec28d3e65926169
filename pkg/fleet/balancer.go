package fleet

import (
	"context"
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
	members []*member

	mu    sync.Mutex
	ready []int // guarded by mu; numbers of instances
}

// run looks at the instances until the context ends.
func (b *balancer) run(ctx context.Context) {
	every(ctx, balancerLag, b.look)
}

func (b *balancer) look() {
	var ready []int
	for number, m := range b.members {
		if m.ready() {
			ready = append(ready, number)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// pick returns the instance for a random draw, other than the excluded ones.
func (b *balancer) pick(draw uint64, excluded map[int]bool) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var candidates []int
	for _, number := range b.ready {
		if !excluded[number] {
			candidates = append(candidates, number)
		}
	}
	if len(candidates) == 0 {
		return 0, eris.New("no instance is ready")
	}
	return candidates[draw%uint64(len(candidates))], nil
}
