package controlplane

import (
	"context"
	"sync"
)

// Serve runs the tasks of the plane until ctx ends. It implements suture.Service.
func (p *Plane) Serve(ctx context.Context) error {
	var running sync.WaitGroup
	for _, t := range p.tasks {
		running.Go(func() { t.run(ctx) })
	}
	running.Wait()
	return ctx.Err()
}

// String returns the name under which the supervisor logs the plane.
func (p *Plane) String() string {
	return "control plane"
}
