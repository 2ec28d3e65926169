package faults

import (
	"context"
	"testing"

	"pgregory.net/rapid"

	"github.com/sycamorelift/sycamorelift/pkg/fleet"
	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

// Guards against faults that break an invariant only in combination, repeated,
// or in an order that no other test has.
func TestOfficeKeepsInvariants(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) { runSequence(rt, standin.Office()) })
}

// Guards against the same where submissions are routed by key to many shards.
func TestAgendaSerenaKeepsInvariants(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) { runSequence(rt, standin.AgendaSerena()) })
}

const (
	fewestSteps = 5
	mostSteps   = 12
	mostFaults  = 3 // that begin in one step
)

// runSequence draws one sequence of steps and runs it on a new fleet.
func runSequence(rt *rapid.T, spec standin.DeploymentSpec) {
	seed := rapid.Uint64Range(1, 1000).Draw(rt, "seed")
	f, err := fleet.Start(context.Background(), fleet.Config{Spec: spec, Seed: seed, Start: fleet.StartInstance})
	if err != nil {
		rt.Fatalf("start: %v", err)
	}
	defer f.Stop()
	s := newSystem(rt, f, seed)
	defer s.stop()
	// Walking through one order of all faults reaches most of them in a case;
	// independent draws left out the drain in every case of the default seed.
	order := rapid.Permutation(faultNames()).Draw(rt, "order")
	next := 0
	for range rapid.IntRange(fewestSteps, mostSteps).Draw(rt, "steps") {
		var faults []string
		for range rapid.IntRange(1, mostFaults).Draw(rt, "faults") {
			faults = append(faults, order[next%len(order)])
			next++
		}
		s.step(faults)
		s.check()
	}
	// A drain is left out while the list cannot spread, and it is judged only by
	// traffic after its grace; so each case ends with one that is judged.
	s.configBack()
	s.heal()
	s.drain()
	s.linger()
	s.check()
	s.healAll()
	s.check()
	s.awaitRecovery()
	s.check()
}
