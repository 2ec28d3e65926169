package faults

import (
	"context"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

const (
	listLag        = time.Second // of the platform's list
	drainGrace     = 2 * time.Second
	listSpread     = time.Second // until every instance has read it
	indexOverlap   = 400 * time.Millisecond
	stragglerSlow  = 20
	crashRestart   = 300 * time.Millisecond
	lateReply      = 300 * time.Millisecond
	wrongReplyRate = 3 // every third reply
)

// faultsByName are the faults and their ends.
var faultsByName = map[string]func(*system){
	"poison":          (*system).poison,
	"kill":            (*system).kill,
	"revive":          (*system).revive,
	"restart":         (*system).restart,
	"partition":       (*system).partition,
	"heal":            (*system).heal,
	"config-down":     (*system).configDown,
	"config-stale":    (*system).configStale,
	"config-split":    (*system).configSplit,
	"config-back":     (*system).configBack,
	"publish":         func(s *system) { s.publish(1) },
	"publish-rivals":  func(s *system) { s.publish(2) },
	"repartition":     (*system).repartition,
	"drain":           (*system).drain,
	"return":          (*system).returnServers,
	"lose":            func(s *system) { each(s.someServers(), (*standin.BackendServer).Lose) },
	"crash":           func(s *system) { s.server().Crash(crashRestart) },
	"straggler":       func(s *system) { s.server().SetStraggler(stragglerSlow) },
	"silence":         (*system).silence,
	"wrong-replies":   (*system).wrongReplies,
	"servers-recover": (*system).recoverServers,
}

func faultNames() []string {
	names := make([]string, 0, len(faultsByName))
	for name := range faultsByName {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (s *system) kill() {
	number := s.instance()
	if s.fleet.Size()-len(s.killed) <= fewestRunning {
		return
	}
	s.note("kill %d", number)
	s.killed[number] = true
	s.fleet.Kill(number)
}

func (s *system) revive() {
	for number := range s.killed {
		s.background(func(ctx context.Context) {
			s.note("revived %d: %v", number, s.fleet.Revive(ctx, number))
		})
	}
	clear(s.killed)
}

func (s *system) restart() {
	number := s.instance()
	s.background(func(ctx context.Context) {
		s.fleet.Restart(ctx, number)
		s.note("restarted %d", number)
	})
}

func (s *system) partition() {
	var side []string
	mask := rapid.IntRange(1, 1<<s.fleet.Size()-2).Draw(s.rt, "side")
	for number := range s.fleet.Size() {
		if mask>>number&1 == 1 {
			side = append(side, s.fleet.InstanceSpec(number).ID)
		}
	}
	s.note("partition %v", side)
	s.fleet.Deployment.Network.Partition(side...)
	s.partitioned = true
	s.updateVisibility()
}

func (s *system) heal() {
	s.fleet.Deployment.Network.Heal()
	s.partitioned = false
	s.updateVisibility()
}

func (s *system) configDown() {
	kinds := []standin.OutageKind{standin.OutageReset, standin.OutageHang, standin.OutageError}
	s.fleet.Deployment.Config.SetDown(rapid.SampledFrom(kinds).Draw(s.rt, "outage"))
	s.unreadable = true
	s.updateVisibility()
}

func (s *system) configStale() {
	s.fleet.Deployment.Config.SetStale(s.oldRevision())
	s.unreadable = true
	s.updateVisibility()
}

// configSplit shows one zone an old state.
func (s *system) configSplit() {
	zone := rapid.SampledFrom(s.fleet.Spec().Zones).Draw(s.rt, "zone")
	s.fleet.Deployment.Config.SetSplit(map[string]int64{zone: s.oldRevision()})
	s.split = true
	s.updateVisibility()
}

func (s *system) configBack() {
	config := s.fleet.Deployment.Config
	config.SetStale(0)
	config.SetSplit(nil)
	config.SetUp()
	s.unreadable, s.split = false, false
	s.updateVisibility()
}

// oldRevision is one that has all documents.
func (s *system) oldRevision() int64 {
	back := int64(rapid.IntRange(0, 3).Draw(s.rt, "back"))
	return max(s.fleet.Deployment.Config.Revision()-back, int64(len(s.fleet.Spec().Services))+2)
}

// updateVisibility tells the oracle whether every instance can learn of a
// published bundle.
func (s *system) updateVisibility() {
	hidden := s.unreadable || s.split && s.partitioned
	s.note("unreadable %t, split %t, partitioned %t", s.unreadable, s.split, s.partitioned)
	if hidden {
		s.fleet.Audit.Bundles.Hide(time.Now())
		return
	}
	s.fleet.Audit.Bundles.Show(time.Now())
}

func (s *system) publish(rivals int) {
	if err := s.fleet.PublishRivals(rivals); err != nil {
		s.rt.Fatalf("publish: %v", err)
	}
	s.note("published bundle %d", s.fleet.BundleVersion())
}

func (s *system) repartition() {
	service := rapid.SampledFrom(s.fleet.Spec().Services).Draw(s.rt, "service").Name
	s.background(func(context.Context) {
		s.moving[service].Lock()
		defer s.moving[service].Unlock()
		err := s.fleet.Deployment.Repartition(service, indexOverlap)
		s.note("repartitioned %s: %v", service, err)
	})
}

// drain makes backend servers leave and waits until the platform's list has
// told the instances. Without the list an instance learns of a drain only from
// a reply of the server, so no later fault may hide the list before, and where
// one already does the drain is left out.
func (s *system) drain() {
	servers := s.someServers()
	if s.unreadable || s.partitioned {
		return
	}
	s.note("drain %s and others", servers[0].ID())
	each(servers, func(server *standin.BackendServer) { server.Drain(drainGrace) })
	if err := s.fleet.Deployment.PublishMembers(); err != nil {
		s.rt.Fatalf("publish members: %v", err)
	}
	time.Sleep(listSpread)
}

// returnServers restarts servers, as those that have drained come back.
func (s *system) returnServers() {
	each(s.someServers(), s.restore)
	s.fleet.Deployment.PublishMembersAfter(listLag)
}

func (s *system) restore(server *standin.BackendServer) {
	server.Lose()
	server.EndDrain()
	if err := server.Restore(); err != nil {
		s.rt.Fatalf("restore: %v", err)
	}
}

func (s *system) silence() {
	for _, server := range s.fleet.Deployment.ServersOf(s.fleet.MainService().Name) {
		server.Silence()
	}
}

func (s *system) wrongReplies() {
	kinds := []standin.ReplyFaultKind{
		standin.ReplyLate, standin.ReplyTruncated, standin.ReplyCrossed, standin.ReplyOtherSnapshot,
	}
	kind := rapid.SampledFrom(kinds).Draw(s.rt, "reply")
	fault := &standin.ReplyFault{Kind: kind, Every: wrongReplyRate, Delay: lateReply}
	each(s.someServers(), func(server *standin.BackendServer) { server.SetReplyFault(fault) })
}

func each(servers []*standin.BackendServer, action func(*standin.BackendServer)) {
	for _, server := range servers {
		action(server)
	}
}

// recoverServers ends all faults of backend servers but drains.
func (s *system) recoverServers() {
	for _, server := range s.fleet.Deployment.Servers {
		server.SetStraggler(1)
		server.SetReplyFault(nil)
		if err := server.Restore(); err != nil {
			s.rt.Fatalf("restore: %v", err)
		}
	}
}
