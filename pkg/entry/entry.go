// Package entry is the role of an instance towards callers: it authenticates a
// request, pins one bundle and one snapshot, asks the owners of the replicas,
// merges their results and returns an answer or a refusal with its reason.
package entry

import (
	"context"
	"log/slog"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
	"github.com/sycamorelift/sycamorelift/pkg/crashguard"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/owner"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/selection"
	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
	"github.com/sycamorelift/sycamorelift/pkg/submission"
	"go.opentelemetry.io/otel/trace"
)

// Control is what the entry role needs of the control plane.
type Control interface {
	EnsureFresh(ctx context.Context) (stale bool)
	Bundle() (*bundle.Verified, bool)
	Manifest(team, service string) (*snapshot.Manifest, bool)
	// RefreshManifest reads the manifest from the configuration service.
	RefreshManifest(ctx context.Context, team, service string)
	Sender() *peerpb.Sender
	ObserveSender(sender *peerpb.Sender)
}

// OwnerClient sends a search to an owner instance and passes the frames of the
// reply to emit. The error is nil after the last frame.
type OwnerClient interface {
	Search(ctx context.Context, to membership.Instance, request *peerpb.SearchRequest, emit owner.Emit) error
}

// Config holds the parts that an Entry uses.
type Config struct {
	Self            membership.Instance
	View            *membership.View
	Control         Control
	Owners          OwnerClient
	Selector        *selection.Selector
	Guard           *crashguard.Guard
	Served          *snapshot.Served
	Submissions     *submission.Router
	Metrics         Metrics
	Tracer          trace.Tracer
	Logger          *slog.Logger
	Now             func() time.Time
	MaxRequestBytes int64
	Options         Options
}

// Entry serves callers. It is safe for concurrent use.
type Entry struct {
	config Config
	rules  *ruleStates
	acks   *ackPaces
}

// New returns an Entry.
func New(config Config) *Entry {
	return &Entry{config: config, rules: newRuleStates(), acks: newAckPaces()}
}
