package forward

import (
	"context"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/extras"
	"github.com/sycamorelift/sycamorelift/pkg/replicas"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

// Engine forwards requests. It is safe for concurrent use.
type Engine struct {
	directory *directory.Directory
	tracker   *replicas.Tracker
	budget    *extras.Budget
	weights   *routing.Weights
	caller    Caller
	instances func() int
}

// Config is the input of New. All fields are required.
type Config struct {
	Directory *directory.Directory
	Tracker   *replicas.Tracker
	Budget    *extras.Budget
	Caller    Caller
	Instances func() int // that share a server's connections
}

// New returns an engine.
func New(config Config) *Engine {
	return &Engine{
		directory: config.Directory,
		tracker:   config.Tracker,
		budget:    config.Budget,
		weights:   routing.NewWeights(),
		caller:    config.Caller,
		instances: config.Instances,
	}
}

// Forward answers a request on a route of the table. It returns at once when ctx
// ends because the caller has left.
func (e *Engine) Forward(ctx context.Context, table *routing.Table, route *routing.Route, request *Request) *Answer {
	r := newRun(e, table, route, request)
	defer r.release()
	return r.answer(ctx)
}

// connections is this instance's share of the connections that a server accepts.
func (e *Engine) connections(table *routing.Table, service string) int {
	known, ok := table.Service(service)
	if !ok || known.MaxConnections <= 0 {
		return 1
	}
	return max(known.MaxConnections/max(e.instances(), 1), 1)
}

// services returns the services that a request needs, one per leg.
func (e *Engine) services(route *routing.Route) []string {
	if route.Sharded() {
		return route.Shards
	}
	return []string{e.weights.Pick(route)}
}

// usual is the usual reply time of a route.
func (e *Engine) usual(route *routing.Route) time.Duration { return e.tracker.Usual(route.Name) }
