package experiment

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/fleet"
	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

const (
	// rounds is how often the arms take turns, so that a change of the
	// machine's load hits all of them.
	rounds = 4
	// warmUpTime precedes the first round of each arm.
	warmUpTime = 800 * time.Millisecond
	warmUpLoad = 0.2
	settleTime = 200 * time.Millisecond
)

// Config describes one experiment.
type Config struct {
	Scenario Scenario
	Policy   Policy
	Baseline Policy
	Duration time.Duration // measured per arm; 0 takes the scenario's
	Seed     uint64
	Start    fleet.Starter
}

// Result is the outcome of an experiment.
type Result struct {
	Scenario string      `json:"scenario"`
	Seed     uint64      `json:"seed"`
	Policy   Measurement `json:"policy"`
	Baseline Measurement `json:"baseline"`
	NoFault  Measurement `json:"no_fault"` // the policy without the fault
}

// experiment is a run in progress.
type experiment struct {
	config  Config
	spec    standin.DeploymentSpec
	perLoad float64 // requests per second at a load of 1
	arms    []*arm  // policy, baseline, no fault
}

// Run runs an experiment. The error tells that it could not run; broken
// invariants are in the result.
func Run(ctx context.Context, config Config) (*Result, error) {
	spec, err := config.Scenario.spec()
	if err != nil {
		return nil, err
	}
	if config.Duration <= 0 {
		config.Duration = config.Scenario.Duration
	}
	main := spec.Services[0]
	share := fleet.NewWorkload(spec, config.Seed, "").Share(main.Name)
	e := &experiment{config: config, spec: spec, perLoad: main.Capacity() / share}
	defer e.stop()
	if err := e.startArms(ctx); err != nil {
		return nil, err
	}
	if err := e.takeTurns(ctx); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	for _, a := range e.arms {
		if err := a.fleet.Failure(); err != nil {
			return nil, err
		}
	}
	return &Result{
		Scenario: config.Scenario.Name,
		Seed:     config.Seed,
		Policy:   e.arms[0].measurement(),
		Baseline: e.arms[1].measurement(),
		NoFault:  e.arms[2].measurement(),
	}, nil
}

func (e *experiment) startArms(ctx context.Context) error {
	scenario := e.config.Scenario
	calm := scenario.CalmLoad
	if calm == 0 {
		calm = scenario.Load
	}
	e.arms = []*arm{
		{policy: e.config.Policy, load: scenario.Load, fault: scenario.Fault},
		{policy: e.config.Baseline, load: scenario.Load, fault: scenario.Fault},
		{policy: e.config.Policy, load: calm},
	}
	for _, a := range e.arms {
		var err error
		a.tally = newTally()
		a.fleet, err = fleet.Start(ctx, fleet.Config{
			Spec: e.spec, Seed: e.config.Seed, Options: a.policy.Options, Start: e.config.Start,
		})
		if err != nil {
			return err
		}
	}
	warmUp := arrivals(e.spec, e.config.Seed, "warm-up", warmUpLoad*e.perLoad, warmUpTime)
	for _, a := range e.arms {
		a.warmUp(ctx, warmUp)
	}
	return ctx.Err()
}

// takeTurns lets the arms take turns with the same arrivals, in reverse order
// every other round.
func (e *experiment) takeTurns(ctx context.Context) error {
	length := e.config.Duration / rounds
	order := []*arm{e.arms[2], e.arms[0], e.arms[1]}
	for round := range rounds {
		seed := e.config.Seed + uint64(round)*1000
		for _, a := range order {
			list := arrivals(e.spec, seed, fmt.Sprintf("round %d", round), a.load*e.perLoad, length)
			if err := a.turn(ctx, list, length); err != nil {
				return err
			}
		}
		slices.Reverse(order)
	}
	return nil
}

func (e *experiment) stop() {
	var group sync.WaitGroup
	for _, a := range e.arms {
		if a.fleet != nil {
			group.Go(a.fleet.Stop)
		}
	}
	group.Wait()
}
