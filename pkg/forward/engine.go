package forward

import (
	"context"
	"sync/atomic"
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
	ranks     *ranks
	lateness  *lateness
	caller    Caller
	zone      string
	relays    Relays
	sharing   Sharing
	observe   func(LatenessChange)
	running   atomic.Int32 // sharded requests in progress
}

// Sharing tells how instances share what a backend server accepts.
type Sharing interface {
	// ZoneShare is the part of its availability zone's processor time that this
	// instance has, 0 to 1.
	ZoneShare() float64
	// Remote is the number of instances outside a zone of average size.
	Remote() int
}

// Config is the input of New. All fields are required.
type Config struct {
	Directory *directory.Directory
	Tracker   *replicas.Tracker
	Budget    *extras.Budget
	Caller    Caller
	Zone      string // this instance's availability zone
	Relays    Relays
	Sharing   Sharing
	Observe   func(LatenessChange) // must not block
}

// New returns an engine.
func New(config Config) *Engine {
	return &Engine{
		directory: config.Directory,
		tracker:   config.Tracker,
		budget:    config.Budget,
		weights:   routing.NewWeights(),
		ranks:     newRanks(),
		lateness:  newLateness(),
		caller:    config.Caller,
		zone:      config.Zone,
		relays:    config.Relays,
		sharing:   config.Sharing,
		observe:   config.Observe,
	}
}

// extrasPerPart is the number of attempts beyond the first that a part may need: a hedge
// and a repeat after the answer was due.
const extrasPerPart = 2

// mayAskAgain reports whether the budget allows all that the requests in progress may need.
func (e *Engine) mayAskAgain(service string, now time.Time) bool {
	return e.budget.Left(service, now) >= extrasPerPart*float64(e.running.Load())
}

// Forward answers a request on a route of the table. It returns at once when ctx
// ends because the caller has left.
func (e *Engine) Forward(ctx context.Context, table *routing.Table, route *routing.Route, request *Request) *Answer {
	r := newRun(e, route, request, func(service string) int {
		known, _ := table.Service(service)
		return known.MaxConnections
	})
	defer r.release()
	return r.answer(ctx)
}

const (
	// localConnectionShare of the connections that a server accepts is for the
	// instances of its own availability zone, which send it most of its requests.
	localConnectionShare = 0.3
	// remoteConnectionShare is for all others. The rest stays free: after a loss of
	// power the server still holds the connections of the runs before.
	remoteConnectionShare = 0.15
)

// connections is this instance's share of the connections that a server accepts.
func (e *Engine) connections(accepted int, zone string) int {
	share := localConnectionShare * float64(accepted) * e.sharing.ZoneShare()
	if zone != e.zone {
		share = remoteConnectionShare * float64(accepted) / float64(max(e.sharing.Remote(), 1))
	}
	return max(int(share), 1)
}

// Connections is the number of connections to a server that this instance may
// hold; accepted is what the server accepts from all instances.
func (e *Engine) Connections(accepted int, server *directory.Server) int {
	return e.connections(accepted, server.Zone)
}

// services returns the services that a request needs, one per leg.
func (e *Engine) services(route *routing.Route) []string {
	if route.Sharded() {
		return route.Shards
	}
	return []string{e.weights.Pick(route)}
}

// unknownShare of a route's target stands in for its usual reply time until there
// are replies.
const unknownShare = 0.1

// usual is the usual reply time of a route.
func (e *Engine) usual(route *routing.Route) time.Duration {
	if usual, known := e.tracker.Usual(route.Name); known || route.Target <= 0 {
		return usual
	}
	return time.Duration(unknownShare * float64(route.Target))
}
