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
	for range rapid.IntRange(fewestSteps, mostSteps).Draw(rt, "steps") {
		s.step(rapid.SliceOfN(rapid.SampledFrom(faultNames()), 0, mostFaults).Draw(rt, "faults"))
		s.check()
	}
	s.linger()
	s.check()
	s.healAll()
	s.check()
	s.awaitRecovery()
	s.check()
}
