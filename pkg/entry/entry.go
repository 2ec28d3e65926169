// Package entry implements the instance role that serves callers: it
// authenticates a request, pins one bundle and one snapshot, sends the query to
// the owners of the replicas, merges their results and returns an answer or a
// refusal with its reason.
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

// Control is the part of the control plane that the entry role uses.
type Control interface {
	// EnsureFresh waits until the control documents are confirmed as current. It
	// reports stale if nobody confirmed them in time.
	EnsureFresh(ctx context.Context) (stale bool)
	Bundle() (*bundle.Verified, bool)
	Manifest(team, service string) (*snapshot.Manifest, bool)
	// RefreshManifest reads the manifest from the configuration service.
	RefreshManifest(ctx context.Context, team, service string)
	Sender() *peerpb.Sender
	ObserveSender(sender *peerpb.Sender)
}

// OwnerClient sends a search message to an owner instance and passes each frame
// of the reply to emit. The error is nil if the last frame was received.
type OwnerClient interface {
	Search(ctx context.Context, to membership.Instance, request *peerpb.SearchRequest, emit owner.Emit) error
}

// Config holds the dependencies and settings of an Entry.
type Config struct {
	Self            membership.Instance
	View            *membership.View
	Control         Control
	Owners          OwnerClient
	Selector        *selection.Selector
	Guard           *crashguard.Guard
	KnownSnapshots  *snapshot.KnownSnapshots
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
	config      Config
	rules       *ruleLimiters
	ackTimeouts *ackTimeouts
}

// New returns an Entry.
func New(config Config) *Entry {
	return &Entry{config: config, rules: newRuleLimiters(), ackTimeouts: newAckTimeouts()}
}
