package demo

import (
	"context"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/fleet"
	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

// Run runs one demonstration. The error tells that it could not run; broken
// invariants are in the report.
func Run(ctx context.Context, config Config) (*Report, error) {
	spec, err := standin.SpecByName(config.Deployment)
	if err != nil {
		return nil, err
	}
	fault, err := fleet.FaultByName(config.Fault)
	if err != nil {
		return nil, err
	}
	if fault.Scarce {
		spec = fleet.Scarce(spec)
	}
	f, err := fleet.Start(ctx, fleet.Config{Spec: spec, Seed: config.Seed, Options: config.Options, Start: config.Start})
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	run := &run{config: config, fault: fault, fleet: f, tally: newTally()}
	if err := run.sendAll(ctx); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	if err := f.Failure(); err != nil {
		return nil, err
	}
	f.Audit.Finish()
	return run.report(), nil
}

// run is a demonstration in progress.
type run struct {
	config Config
	fault  fleet.Fault
	fleet  *fleet.Fleet
	tally  *tally
}

// sendAll sends the queries at fixed times and waits for all replies.
func (r *run) sendAll(ctx context.Context) error {
	faultCtx, endFault := context.WithCancel(ctx)
	defer endFault()
	workload := fleet.NewWorkload(r.fleet.Spec(), r.config.Seed, "demo")
	calm := int(float64(r.config.Queries) * calmShare)
	next := time.Now()
	var group sync.WaitGroup
	defer group.Wait()
	for i := range r.config.Queries {
		if i == calm {
			if err := r.fault.Apply(faultCtx, r.fleet); err != nil {
				return err
			}
		}
		time.Sleep(time.Until(next))
		next = next.Add(queryGap)
		request := workload.Next()
		if r.fault.Poison && i >= calm && i%poisonEvery == 0 {
			request = r.poison(request)
		}
		group.Go(func() { r.tally.add(r.fleet.Do(ctx, request)) })
	}
	return nil
}

// poison turns a request into the one that crashes backend servers. It is the
// same each time, as its caller repeats it, and enters anywhere.
func (r *run) poison(request fleet.Request) fleet.Request {
	request.Service = r.fleet.MainService().Name
	for _, class := range fleet.Classes(r.config.Deployment) {
		if class.Services[0] == request.Service {
			request.Class = class
		}
	}
	request.Query = "all" + standin.CrashMarker
	request.Payload = ""
	return request
}
