package controlplane

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/configclient"
)

// Names of the counters that are passed to Config.Count.
const (
	// CounterServiceLost counts how often the service stopped answering.
	CounterServiceLost = "control.service_lost"
	// CounterUnconfirmed counts how often decisions began to use documents that
	// nobody confirms.
	CounterUnconfirmed = "control.unconfirmed"
)

// serviceLostAfter is the number of consecutive failed calls after which the service is
// reported as not answering. It is above 1 because a single lost packet must not
// be reported.
const serviceLostAfter = 2

// health tracks whether the service answers and whether decisions use confirmed
// documents, so that each change is logged once.
type health struct {
	failures    atomic.Int64 // consecutive failed calls of the service
	lost        atomic.Bool
	unconfirmed atomic.Bool
}

// recordServiceCall records the result of a call of the service. A failed call whose
// context has ended is ignored: this instance gave the call up itself.
func (p *Plane) recordServiceCall(ctx context.Context, err error) {
	switch {
	case isAnswer(err):
		p.health.failures.Store(0)
		if p.health.lost.Swap(false) {
			p.log.Info("configuration service answers again")
		}
	case ctx.Err() != nil:
		return
	case p.health.failures.Add(1) >= serviceLostAfter && !p.health.lost.Swap(true):
		p.log.Warn("configuration service does not answer", "failed_calls", serviceLostAfter, "error", err)
		p.count(CounterServiceLost, 1)
	}
}

// isAnswer reports whether the service gave a valid reply. "Not found" and "over
// the read limit" are valid replies.
func isAnswer(err error) bool {
	var missing *configclient.NotFoundError
	var limit *configclient.RateLimitedError
	return err == nil || errors.As(err, &missing) || errors.As(err, &limit)
}

// recordDecision records whether a decision used unconfirmed documents, and returns
// stale unchanged.
func (p *Plane) recordDecision(stale bool) bool {
	if stale && !p.health.unconfirmed.Swap(true) {
		p.log.Warn("decisions use control documents that nobody confirms", "bundle_version", p.Sender().BundleVersion)
		p.count(CounterUnconfirmed, 1)
	}
	return stale
}

// confirm records that a reply to a request sent at asked confirmed the documents.
func (p *Plane) confirm(asked time.Time) {
	p.fresh.confirm(asked)
	if p.fresh.isFresh(p.now()) && p.health.unconfirmed.Swap(false) {
		p.log.Info("control documents are confirmed again", "bundle_version", p.Sender().BundleVersion)
	}
}
