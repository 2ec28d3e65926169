package experiment

import (
	"context"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/fleet"
	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

const (
	poisonGap  = 150 * time.Millisecond
	crashedFor = time.Second
)

// named returns the fault of the fleet's list.
func named(name string) func(context.Context, *fleet.Fleet) error {
	return func(ctx context.Context, f *fleet.Fleet) error {
		fault, err := fleet.FaultByName(name)
		if err != nil {
			return err
		}
		return fault.Apply(ctx, f)
	}
}

func loseReplica(_ context.Context, f *fleet.Fleet) error {
	server, err := f.Deployment.Server(f.MainService().Name, 0, 0)
	if err != nil {
		return err
	}
	server.Lose()
	return nil
}

func silence(ctx context.Context, f *fleet.Fleet) error {
	go repeat(ctx, silenceInterval, func() {
		for _, server := range f.Deployment.ServersOf(f.MainService().Name) {
			server.Silence()
		}
	})
	return nil
}

func repartition(ctx context.Context, f *fleet.Fleet) error {
	go repeat(ctx, moveInterval, func() {
		_ = f.Deployment.Repartition(f.MainService().Name, snapshotOverlap)
	})
	return nil
}

// crashing sends the same crashing request again and again, as its caller
// retries it, beside the normal load.
func crashing(ctx context.Context, f *fleet.Fleet) error {
	for _, server := range f.Deployment.ServersOf(f.MainService().Name) {
		server.SetCrash(true, crashedFor)
	}
	poison := fleet.Request{
		Class: fleet.Classes(f.Spec().Name)[0], Service: f.MainService().Name,
		Query: "all" + standin.CrashMarker, Limit: 1,
	}
	go repeat(ctx, poisonGap, func() {
		poison.Draw++
		f.Do(ctx, poison)
	})
	return nil
}

func repeat(ctx context.Context, period time.Duration, action func()) {
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
