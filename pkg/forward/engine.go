package forward

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/replicas"
	"github.com/sycamorelift/sycamorelift/pkg/retrybudget"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
	"github.com/sycamorelift/sycamorelift/pkg/shedding"
	"github.com/sycamorelift/sycamorelift/pkg/suspects"
)

// Engine forwards requests. It is safe for concurrent use.
type Engine struct {
	directory         *directory.Directory
	tracker           *replicas.Tracker
	suspects          *suspects.Tracker
	budget            *retrybudget.Budget
	weights           *routing.WeightedRoundRobin
	shedding          *shedding.Policy
	replies           *shedding.Bytes
	lateness          *lateShares
	client            BackendClient
	zone              string
	refuseInOverload  bool
	ownWork           time.Duration     // see ownWorkTime
	regions           map[string]string // by zone; empty if the settings name none
	relays            Relays
	sharing           Sharing
	onLatenessChange  func(LatenessChange)
	onSuspect         func(suspects.Suspect)
	shardedInProgress atomic.Int32
}

// Sharing states how the instances divide the connections that a backend server accepts.
type Sharing interface {
	// ZoneShare returns this instance's share of the processor time of its availability
	// zone, 0 to 1.
	ZoneShare() float64
	// RemoteInstances returns the number of instances outside a zone of average size.
	RemoteInstances() int
}

// Config is the input of New. All fields but Cores, Regions and
// RefuseInOverload are required.
type Config struct {
	Directory        *directory.Directory
	Tracker          *replicas.Tracker
	Suspects         *suspects.Tracker
	Budget           *retrybudget.Budget
	Client           BackendClient
	Cores            float64           // processor time of this instance; 0 is unknown
	Zone             string            // this instance's availability zone
	Regions          map[string]string // region of each zone, for routes with allowed regions
	Relays           Relays
	Sharing          Sharing
	OnLatenessChange func(LatenessChange) // called when the lateness of a route changes; must not block
	// Replies bounds the bytes of the replies of servers that requests hold.
	Replies *shedding.Bytes
	// RefuseInOverload refuses requests at once that servers cannot answer in time, because they
	// are overloaded or required shards have no capacity. Otherwise these are answered late.
	RefuseInOverload bool
	// OnOverload is called when this instance begins, and when it ceases, to refuse requests
	// because the servers cannot do the work. It must not block.
	OnOverload func(active bool)
	// OnSuspect tells the other instances about a request that has ended under suspicion
	// of crashing servers. It must not block.
	OnSuspect func(suspects.Suspect)
}

// New returns an engine that has not recorded any request yet.
func New(config Config) *Engine {
	return &Engine{
		directory:        config.Directory,
		tracker:          config.Tracker,
		suspects:         config.Suspects,
		budget:           config.Budget,
		weights:          routing.NewWeightedRoundRobin(),
		replies:          config.Replies,
		shedding:         shedding.NewPolicy(config.OnOverload),
		refuseInOverload: config.RefuseInOverload,
		lateness:         newLateShares(),
		client:           config.Client,
		zone:             config.Zone,
		ownWork:          ownWorkTime(config.Cores),
		regions:          config.Regions,
		relays:           config.Relays,
		sharing:          config.Sharing,
		onLatenessChange: config.OnLatenessChange,
		onSuspect:        config.OnSuspect,
	}
}

// extraAttemptsPerPart is the number of attempts beyond the first that a part may need: a
// hedge, and a retry after the cutoff.
const extraAttemptsPerPart = 2

// budgetCoversRetries reports whether the budget allows all extra attempts that the sharded
// requests in progress may need.
func (e *Engine) budgetCoversRetries(service string, now time.Time) bool {
	return e.budget.Remaining(service, now) >= extraAttemptsPerPart*float64(e.shardedInProgress.Load())
}

// Forward answers a request on a route of the table. Ctx ends when the caller leaves;
// Forward then returns immediately.
func (e *Engine) Forward(ctx context.Context, table *routing.Table, route *routing.Route, request *Request) *Answer {
	r := newActiveRequest(e, route, request, func(service string) int {
		known, _ := table.Service(service)
		return known.MaxConnections
	})
	defer r.release()
	r.returned = e.shedding.Refused.Take(r.crashes.fingerprint, request.Arrived)
	answer := r.waitForAnswer(ctx)
	if refusal := answer.Refusal; refusal != nil && refusal.RetryAfter > 0 {
		e.shedding.Refused.Add(r.crashes.fingerprint, refusal.RetryAfter, time.Now())
	}
	return answer
}

const (
	// localConnectionShare is the share of a server's connections for the instances of its
	// own availability zone, which send it most of its requests.
	localConnectionShare = 0.3
	// remoteConnectionShare is the share for the instances of other zones. The rest stays
	// free: after a power failure of the instances the server still holds the connections
	// of their previous runs.
	remoteConnectionShare = 0.15
)

// connections returns this instance's share of the connections that a server in a zone
// accepts.
func (e *Engine) connections(accepted int, zone string) int {
	share := localConnectionShare * float64(accepted) * e.sharing.ZoneShare()
	if zone != e.zone {
		share = remoteConnectionShare * float64(accepted) / float64(max(e.sharing.RemoteInstances(), 1))
	}
	return max(int(share), 1)
}

// Connections returns the number of connections to a server that this instance may hold.
// Accepted is the number that the server accepts from all instances.
func (e *Engine) Connections(accepted int, server *directory.Server) int {
	return e.connections(accepted, server.Zone)
}

// services returns the services that a request on the route needs, one per shard request.
func (e *Engine) services(route *routing.Route) []string {
	if route.Sharded() {
		return route.Shards
	}
	return []string{e.weights.Pick(route)}
}

// defaultLatencyShare is the share of a route's target that is used as its latency
// estimate until there are replies.
const defaultLatencyShare = 0.1

// latencyEstimate returns the expected reply time of a route.
func (e *Engine) latencyEstimate(route *routing.Route) time.Duration {
	if estimate, known := e.tracker.TypicalLatency(route.Name); known || route.TargetLatency <= 0 {
		return estimate
	}
	return time.Duration(defaultLatencyShare * float64(route.TargetLatency))
}
