package controlplane

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/configclient"
)

// Counters of Config.Count.
const (
	// CountServiceLost counts how often the service stopped answering.
	CountServiceLost = "control.service_lost"
	// CountUnconfirmed counts how often decisions began to use documents that
	// nobody confirms.
	CountUnconfirmed = "control.unconfirmed"
)

// lostAfter is the number of failed calls in a row after which the service
// counts as not answering; one lost packet must not be reported.
const lostAfter = 2

// health reports, once per change, whether the service answers and whether
// decisions use confirmed documents.
type health struct {
	failures    atomic.Int64 // of the service, in a row
	lost        atomic.Bool
	unconfirmed atomic.Bool
}

// heardService records the result of a call of the service. A call that this
// instance gave up says nothing.
func (p *Plane) heardService(ctx context.Context, err error) {
	switch {
	case isAnswer(err):
		p.health.failures.Store(0)
		if p.health.lost.Swap(false) {
			p.log.Info("configuration service answers again")
		}
	case ctx.Err() != nil:
		return
	case p.health.failures.Add(1) >= lostAfter && !p.health.lost.Swap(true):
		p.log.Warn("configuration service does not answer", "failed_calls", lostAfter, "error", err)
		p.count(CountServiceLost, 1)
	}
}

// isAnswer reports whether the service replied as its protocol says, also when
// it holds no value or when all readers together are over its limit.
func isAnswer(err error) bool {
	var missing *configclient.NotFoundError
	var limit *configclient.RateLimitedError
	return err == nil || errors.As(err, &missing) || errors.As(err, &limit)
}

// decided records whether a decision used documents that nobody confirmed.
func (p *Plane) decided(stale bool) bool {
	if stale && !p.health.unconfirmed.Swap(true) {
		p.log.Warn("decisions use control documents that nobody confirms", "bundle_version", p.Sender().BundleVersion)
		p.count(CountUnconfirmed, 1)
	}
	return stale
}

// confirm records an answer to a question that was sent at asked.
func (p *Plane) confirm(asked time.Time) {
	p.fresh.confirm(asked)
	if p.fresh.isFresh(p.now()) && p.health.unconfirmed.Swap(false) {
		p.log.Info("control documents are confirmed again", "bundle_version", p.Sender().BundleVersion)
	}
}
