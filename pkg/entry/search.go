package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
	"github.com/sycamorelift/sycamorelift/pkg/crashguard"
	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
)

// Bounds of the restarts of one search on another snapshot.
const (
	maxRestarts         = 2
	minRestartTimeShare = 0.3
)

// SearchRequest is a decoded search with the token of its caller.
type SearchRequest struct {
	RequestID string
	Team      string
	Service   string
	Token     string
	Query     string
	Limit     int
}

// Search answers one search, or returns a *Refusal as the error.
func (e *Entry) Search(ctx context.Context, request SearchRequest) (*Answer, error) {
	arrived := e.config.Now()
	stale := e.config.Control.EnsureFresh(ctx)
	policy, err := e.resolvePolicy(ctx, request.Team, request.Service, request.Token, bundle.KindSearch)
	if err != nil {
		return nil, err
	}
	release, rule := e.rules.acquire(policy, arrived)
	if rule != nil {
		return nil, ruleRefusal(policy, rule, NotRun, "the class's limit on this instance is reached")
	}
	defer release()
	if refusal := e.refuseByQueueWait(policy, arrived); refusal != nil {
		return nil, refusal
	}
	ctx, cancel := context.WithDeadline(ctx, arrived.Add(policy.Deadline))
	defer cancel()
	answer, err := e.searchWithRestarts(ctx, request, policy, arrived)
	if err != nil {
		return nil, err
	}
	answer.StaleView = stale
	return answer, nil
}

// resolvePolicy returns the policy that the current bundle states for a caller
// and a service of the given kind.
func (e *Entry) resolvePolicy(ctx context.Context, team, service, token string, kind bundle.ServiceKind) (bundle.Policy, error) {
	verified, ok := e.config.Control.Bundle()
	if !ok {
		return bundle.Policy{}, shortageRefusal(NotRun, ShortageBundle, "this instance holds no bundle yet")
	}
	policy, err := verified.Policy(team, service, token)
	if err != nil {
		return bundle.Policy{}, invalidRefusal(policyStatus(err), err.Error())
	}
	recordPolicy(ctx, policy)
	if policy.Kind != kind {
		return bundle.Policy{}, invalidRefusal(http.StatusBadRequest, fmt.Sprintf("service %s takes no %s requests", service, kind))
	}
	return policy, nil
}

func policyStatus(err error) int {
	var policyError *bundle.PolicyError
	if !errors.As(err, &policyError) {
		return http.StatusBadRequest
	}
	switch policyError.Kind {
	case bundle.UnknownTeam, bundle.UnknownService:
		return http.StatusNotFound
	case bundle.UnknownCaller:
		return http.StatusUnauthorized
	default:
		return http.StatusForbidden
	}
}

// refuseByQueueWait applies the class's rule on the recent queue wait of the
// service.
func (e *Entry) refuseByQueueWait(policy bundle.Policy, now time.Time) error {
	rule := findRule(policy, bundle.RuleQueueWaitOver)
	if rule == nil {
		return nil
	}
	wait := e.config.Selector.QueueWait(serviceKey(policy.Team, policy.Service), now)
	if float64(wait.Milliseconds()) <= rule.Limit {
		return nil
	}
	return ruleRefusal(policy, rule, NotRun, fmt.Sprintf("queue wait is %d ms", wait.Milliseconds()))
}

// searchWithRestarts runs the query on one snapshot, and again on another one if
// the first is no longer served and enough time is left.
func (e *Entry) searchWithRestarts(ctx context.Context, request SearchRequest, policy bundle.Policy, arrived time.Time) (*Answer, error) {
	fingerprint := crashguard.Fingerprint(request.Team, request.Service, request.Query)
	if err := e.config.Guard.Admit(fingerprint, crashLimit(policy), arrived); err != nil {
		return nil, crashingRefusal(policy, NotRun, err)
	}
	excluded := make(map[int64]bool)
	record := &runRecord{}
	for restarts := 0; ; restarts++ {
		pinned, err := e.pinSnapshot(policy, excluded, record.statement())
		if err != nil {
			return nil, err
		}
		q := newQuery(e, request, policy, pinned, fingerprint, arrived, record)
		q.mayRestart = restarts < maxRestarts
		answer, err := q.run(ctx)
		if !errors.Is(err, errSnapshotGone) {
			return answer, err
		}
		e.config.Metrics.Count("searches.restarted", 1)
		excluded[pinned.Version] = true
		if !e.hasOtherSnapshot(ctx, policy, excluded) {
			// No other snapshot exists: answer from what is left of the old one.
			clear(excluded)
			restarts = maxRestarts
		}
	}
}

// pinSnapshot chooses the snapshot of a query. The run statement goes into a
// refusal, because parts of a restarted query may have run.
func (e *Entry) pinSnapshot(policy bundle.Policy, excluded map[int64]bool, run RunStatement) (snapshot.Snapshot, error) {
	manifest, ok := e.config.Control.Manifest(policy.Team, policy.Service)
	if !ok {
		return snapshot.Snapshot{}, shortageRefusal(run, ShortageIndexManifest, "no manifest of this service is known yet")
	}
	now := e.config.Now()
	replicaIDs := func(shard int) []string {
		servers := e.config.View.Replicas(policy.Team, policy.Service, shard, now)
		ids := make([]string, 0, len(servers))
		for _, s := range servers {
			ids = append(ids, s.ID)
		}
		return ids
	}
	pinned, ok := snapshot.Choose(manifest, replicaIDs, e.config.KnownSnapshots, excluded, now)
	if !ok {
		return snapshot.Snapshot{}, shortageRefusal(run, ShortageSnapshot, "no snapshot of the index is served")
	}
	return pinned, nil
}

// hasOtherSnapshot reports whether the manifest lists a snapshot to restart on.
// If it lists none, it is read again: backend servers change snapshots before
// every instance has the new manifest.
func (e *Entry) hasOtherSnapshot(ctx context.Context, policy bundle.Policy, excluded map[int64]bool) bool {
	if e.listsOtherSnapshot(policy, excluded) {
		return true
	}
	e.config.Control.RefreshManifest(ctx, policy.Team, policy.Service)
	return e.listsOtherSnapshot(policy, excluded)
}

// listsOtherSnapshot reports whether the known manifest lists a snapshot that is
// not excluded.
func (e *Entry) listsOtherSnapshot(policy bundle.Policy, excluded map[int64]bool) bool {
	manifest, ok := e.config.Control.Manifest(policy.Team, policy.Service)
	if !ok {
		return false
	}
	return slices.ContainsFunc(manifest.Snapshots, func(s snapshot.Snapshot) bool { return !excluded[s.Version] })
}

// crashingRefusal returns a refusal for a request that crashes backend servers.
// It names the class's signed rule for such requests, or else the shortage
// crashing-request.
func crashingRefusal(policy bundle.Policy, run RunStatement, cause error) *Refusal {
	if rule := findRule(policy, bundle.RuleCrashSuspect); rule != nil {
		return ruleRefusal(policy, rule, run, cause.Error())
	}
	return shortageRefusal(run, ShortageCrashingRequest, cause.Error())
}

// serviceKey identifies a service in per-service statistics.
func serviceKey(team, service string) string {
	return team + "/" + service
}
