package faults

import (
	"context"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/fleet"
)

const (
	recoveryBound = 15 * time.Second
	recoveryPause = 100 * time.Millisecond
)

// healAll ends all faults and starts the instances that don't run.
func (s *system) healAll() {
	s.note("heal all")
	s.heal()
	s.configBack()
	s.recoverServers()
	s.tasks.Wait()
	for _, server := range s.fleet.Deployment.Servers {
		if server.Member().State != "live" {
			s.restore(server)
		}
	}
	if err := s.fleet.Deployment.PublishMembers(); err != nil {
		s.rt.Fatalf("publish members: %v", err)
	}
	for number := range s.fleet.Size() {
		ctx, cancel := context.WithTimeout(context.Background(), recoveryBound)
		err := s.fleet.Revive(ctx, number)
		cancel()
		if err != nil {
			s.rt.Fatalf("start instance %d: %v\nevents:\n%s", number, err, s.history())
		}
	}
}

// awaitRecovery waits until every class gets a complete answer and all
// instances are under one bundle.
func (s *system) awaitRecovery() {
	deadline := time.Now().Add(recoveryBound)
	for _, request := range s.searchOfEachClass() {
		for {
			reply := s.do(request)
			if reply.Outcome == fleet.Complete {
				break
			}
			s.retry(deadline, "%s of %s: %s %s %+v", request.Service, request.Class.Name, reply.Outcome, reply.Reason, head(reply))
			request.Draw++
		}
	}
	for {
		states := s.watch.look()
		if oneBundle(states, s.fleet.Size(), s.fleet.BundleVersion()) {
			return
		}
		s.retry(deadline, "bundles %v, newest is %d", states, s.fleet.BundleVersion())
	}
}

func (s *system) retry(deadline time.Time, format string, args ...any) {
	s.note(format, args...)
	if time.Now().After(deadline) {
		s.rt.Fatalf("no recovery; events:\n%s", s.history())
	}
	time.Sleep(recoveryPause)
}
