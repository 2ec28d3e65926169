package fleet

import (
	"context"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

// Sizes of the faults.
const (
	stragglerFactor  = 20
	overloadMultiple = 2 // of the main service's capacity, beside the normal requests
	crashRestart     = time.Second
	silencePeriod    = 700 * time.Millisecond
	repartitionLag   = 400 * time.Millisecond
	partitionLength  = 1500 * time.Millisecond
	lostReplicas     = 3
	wrongReplyEvery  = 20
	bundlePeriod     = 400 * time.Millisecond
	restartBound     = time.Minute
	outagePeriod     = time.Second
	outageLength     = 500 * time.Millisecond
	lateReplyDelay   = 300 * time.Millisecond
	drainGrace       = time.Second
)

var faults = []Fault{
	{Name: "none", Description: "no fault", Apply: noFault},
	{Name: "straggler", Description: "one replica is 20 times slower", Apply: straggler},
	{Name: "replica-loss", Description: "three replicas and one whole shard are lost", Apply: replicaLoss},
	{Name: "silent-connections", Description: "open connections to backend servers stop answering", Apply: silentConnections},
	{Name: "config-down", Description: "the configuration service is down", Apply: configDown},
	{Name: "repartition", Description: "the index moves to snapshots with other partitions", Apply: repartition},
	{Name: "crashing-request", Description: "a repeated request crashes every backend server that runs it", Poison: true, Apply: crashingRequest},
	{Name: "overload", Description: "further requests arrive at twice the capacity", Scarce: true, Apply: overload},
	{Name: "wrong-replies", Description: "backend servers send late, truncated, crossed and outdated replies", Apply: wrongReplies},
	{Name: "drain", Description: "every third backend server drains and leaves", Apply: drain},
	{Name: "instance-loss", Description: "one instance is killed", Apply: instanceLoss},
	{Name: "bundle-change", Description: "a new bundle is published every 400 ms", Apply: bundleChange},
	{Name: "rolling-restart", Description: "the instances restart one after the other", Apply: rollingRestart},
	{Name: "combined", Description: "straggler, silent connections, repartition, bundle changes, drains and configuration outages together", Apply: combined},
	{Name: "partition", Description: "one zone's instances are cut off from the others for 1.5 s", Apply: partition},
}

func noFault(context.Context, *Fleet) error { return nil }

func straggler(_ context.Context, f *Fleet) error {
	server, err := f.Deployment.Server(f.MainService().Name, 0, 0)
	if err != nil {
		return err
	}
	server.SetStraggler(stragglerFactor)
	return nil
}

func replicaLoss(_ context.Context, f *Fleet) error {
	main := f.MainService()
	for shard := 1; shard <= lostReplicas; shard++ {
		server, err := f.Deployment.Server(main.Name, shard, 0)
		if err != nil {
			return err
		}
		server.Lose()
	}
	for replica := range main.Replicas {
		server, err := f.Deployment.Server(main.Name, 0, replica)
		if err != nil {
			return err
		}
		server.Lose()
	}
	return nil
}

// silentConnections repeats, since the connections that replace silent ones
// are open too.
func silentConnections(ctx context.Context, f *Fleet) error {
	go every(ctx, silencePeriod, func() {
		for _, server := range f.Deployment.ServersOf(f.MainService().Name) {
			server.Silence()
		}
	})
	return nil
}

func configDown(_ context.Context, f *Fleet) error {
	f.Deployment.Config.SetDown(standin.OutageReset)
	return nil
}

func repartition(ctx context.Context, f *Fleet) error {
	go every(ctx, repartitionLag, func() {
		_ = f.Deployment.Repartition(f.MainService().Name, repartitionLag)
	})
	return nil
}

func crashingRequest(_ context.Context, f *Fleet) error {
	for _, server := range f.Deployment.ServersOf(f.MainService().Name) {
		server.SetCrash(true, crashRestart)
	}
	return nil
}

// overload adds requests of all classes that are audited but not reported.
func overload(ctx context.Context, f *Fleet) error {
	main := f.MainService()
	workload := NewWorkload(f.config.Spec, f.config.Seed+1, "background")
	rate := overloadMultiple * main.Capacity() / workload.Share(main.Name)
	go every(ctx, time.Duration(float64(time.Second)/rate), func() {
		request := workload.Next()
		go f.Do(ctx, request)
	})
	return nil
}

func wrongReplies(_ context.Context, f *Fleet) error {
	kinds := []standin.ReplyFaultKind{
		standin.ReplyLate, standin.ReplyTruncated, standin.ReplyCrossed, standin.ReplyOtherSnapshot,
	}
	for i, server := range f.Deployment.ServersOf(f.MainService().Name) {
		kind := kinds[i%len(kinds)]
		server.SetReplyFault(&standin.ReplyFault{Kind: kind, Every: wrongReplyEvery, Delay: lateReplyDelay})
	}
	return nil
}

func drain(_ context.Context, f *Fleet) error {
	for i, server := range f.Deployment.ServersOf(f.MainService().Name) {
		if i%3 == 0 {
			server.Drain(drainGrace)
		}
	}
	f.Deployment.PublishMembersAfter(listLag)
	return nil
}

func instanceLoss(_ context.Context, f *Fleet) error {
	f.Kill(0)
	return nil
}

func partition(ctx context.Context, f *Fleet) error {
	var side []string
	for _, m := range f.members {
		if m.spec.Zone == f.config.Spec.Zones[0] {
			side = append(side, m.spec.ID)
		}
	}
	f.Deployment.Network.Partition(side...)
	heal := time.AfterFunc(partitionLength, f.Deployment.Network.Heal)
	context.AfterFunc(ctx, func() {
		heal.Stop()
		f.Deployment.Network.Heal()
	})
	return nil
}

// every runs an action now and after each period until the context ends.
func every(ctx context.Context, period time.Duration, action func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for ctx.Err() == nil {
		action()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func bundleChange(ctx context.Context, f *Fleet) error {
	go every(ctx, bundlePeriod, func() { _ = f.PublishBundle() })
	return nil
}

// rollingRestart replaces instances until the context ends; a restart that has
// begun is finished.
func rollingRestart(ctx context.Context, f *Fleet) error {
	go func() {
		for number := 0; ctx.Err() == nil; number++ {
			bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), restartBound)
			f.Restart(bounded, number%f.Size())
			cancel()
		}
	}()
	return nil
}

func combined(ctx context.Context, f *Fleet) error {
	for _, apply := range []func(context.Context, *Fleet) error{
		straggler, silentConnections, repartition, bundleChange, drain,
	} {
		if err := apply(ctx, f); err != nil {
			return err
		}
	}
	go every(ctx, outagePeriod, func() { f.Deployment.Config.Outage(standin.OutageHang, outageLength) })
	return nil
}
