package relay

import (
	"context"
	"reflect"
	"slices"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/settings"
)

// reloadInterval is how often the settings are read without a signal: the file may
// change silently.
const reloadInterval = 5 * time.Second

// Reload follows the settings until ctx ends: load is called at each signal and at
// intervals. Seeds take effect at once, everything else at the next start.
func (r *Relay) Reload(ctx context.Context, load func() (*settings.Relay, error), signals <-chan struct{}) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		asked := false
		select {
		case <-signals:
			asked = true
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		r.reload(load, asked)
	}
}

func (r *Relay) reload(load func() (*settings.Relay, error), asked bool) {
	next, err := load()
	if err != nil {
		r.logger.Warn("settings not reloaded, the ones before stay in force", "error", err)
		return
	}
	current := r.settings.Load()
	if reflect.DeepEqual(current, next) {
		if asked {
			r.logger.Info("settings reloaded", "changed", false)
		}
		return
	}
	seeds := !slices.Equal(current.Seeds, next.Seeds)
	rest := *next
	rest.Seeds = current.Seeds
	r.settings.Store(next)
	r.logger.Info("settings reloaded", "changed", true, "seeds_changed", seeds, "restart_needed", !reflect.DeepEqual(*current, rest))
}

// seeds returns the peer addresses of the settings in force.
func (r *Relay) seeds() []string { return r.settings.Load().Seeds }
