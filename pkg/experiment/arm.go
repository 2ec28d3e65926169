package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/fleet"
)

// arm is one of the variants that are compared, on a fleet of its own.
type arm struct {
	policy Policy
	load   float64 // of the main service's capacity
	fault  func(ctx context.Context, f *fleet.Fleet) error
	fleet  *fleet.Fleet
	tally  *tally
}

// turn sends the arrivals and waits for their replies. Latency counts from the
// scheduled arrival, so that a late sender doesn't hide waiting.
func (a *arm) turn(ctx context.Context, list []arrival, length time.Duration) error {
	faultCtx, end := context.WithCancel(ctx)
	defer end()
	if a.fault != nil {
		if err := a.fault(faultCtx, a.fleet); err != nil {
			return err
		}
	}
	a.tally.offer(list, length)
	a.send(ctx, list, a.tally.add)
	a.tally.endRound()
	return ctx.Err()
}

// warmUp sends requests that are not measured.
func (a *arm) warmUp(ctx context.Context, list []arrival) {
	a.send(ctx, list, func(fleet.Request, fleet.Reply) {})
}

func (a *arm) send(ctx context.Context, list []arrival, done func(fleet.Request, fleet.Reply)) {
	start := time.Now()
	var group sync.WaitGroup
	defer group.Wait()
	for _, next := range list {
		time.Sleep(time.Until(start.Add(next.at)))
		if ctx.Err() != nil {
			return
		}
		group.Go(func() {
			late := time.Since(start) - next.at
			reply := a.fleet.Do(ctx, next.request)
			reply.Latency += late
			done(next.request, reply)
		})
	}
}
