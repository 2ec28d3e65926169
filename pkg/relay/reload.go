package relay

import (
	"context"
	"os"
	"reflect"
	"slices"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/settings"
)

// reloadInterval is how often the settings are read without a signal, since the file may
// change without one.
const reloadInterval = 5 * time.Second

// Reload applies changes of the settings until ctx ends. It calls load at each signal
// and at each interval. Seeds take effect at once, all other settings at the next start.
func (r *Instance) Reload(ctx context.Context, load func() (*settings.Relay, error), signals <-chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-signals:
			signalled = true
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		r.reload(load, signalled)
	}
}

func (r *Instance) reload(load func() (*settings.Relay, error), signalled bool) {
	next, err := load()
	if err != nil {
		r.logger.Warn("settings not reloaded, the ones before stay in force", "error", err)
		return
	}
	current := r.settings.Load()
	if reflect.DeepEqual(current, next) {
		if signalled {
			r.logger.Info("settings reloaded", "changed", false)
		}
		return
	}
	seedsChanged := !slices.Equal(current.Seeds, next.Seeds)
	nextWithCurrentSeeds := *next
	nextWithCurrentSeeds.Seeds = current.Seeds
	r.settings.Store(next)
	r.logger.Info("settings reloaded", "changed", true, "seeds_changed", seedsChanged, "restart_needed", !reflect.DeepEqual(*current, nextWithCurrentSeeds))
}

// seeds returns the peer addresses of the settings in force.
func (r *Instance) seeds() []string { return r.settings.Load().Seeds }
