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

// Restarts of one query on another snapshot, and the fraction of the deadline
// that must be left for one.
const (
	maxRestarts        = 2
	restartMinTimeLeft = 0.3
)

// SearchRequest is a decoded search of an authenticated caller.
type SearchRequest struct {
	RequestID string
	Team      string
	Service   string
	Token     string
	Query     string
	Limit     int
}

// Search answers one search or returns a *Refusal as the error.
func (e *Entry) Search(ctx context.Context, request SearchRequest) (*Answer, error) {
	arrived := e.config.Now()
	stale := e.config.Control.EnsureFresh(ctx)
	policy, err := e.policy(ctx, request.Team, request.Service, request.Token, bundle.KindSearch)
	if err != nil {
		return nil, err
	}
	leave, rule := e.rules.enter(policy, arrived)
	if rule != nil {
		return nil, byRule(policy, rule, NotRun, "the class's limit on this instance is reached")
	}
	defer leave()
	if refusal := e.refuseByQueueWait(policy, arrived); refusal != nil {
		return nil, refusal
	}
	ctx, cancel := context.WithDeadline(ctx, arrived.Add(policy.Deadline))
	defer cancel()
	answer, err := e.searchSnapshots(ctx, request, policy, arrived)
	if err != nil {
		return nil, err
	}
	answer.StaleView = stale
	return answer, nil
}

// policy resolves the policy under the bundle in force.
func (e *Entry) policy(ctx context.Context, team, service, token string, kind bundle.ServiceKind) (bundle.Policy, error) {
	verified, ok := e.config.Control.Bundle()
	if !ok {
		return bundle.Policy{}, shortage(NotRun, ShortageBundle, "this instance holds no bundle yet")
	}
	policy, err := verified.Policy(team, service, token)
	if err != nil {
		return bundle.Policy{}, invalid(policyStatus(err), err.Error())
	}
	recordPolicy(ctx, policy)
	if policy.Kind != kind {
		return bundle.Policy{}, invalid(http.StatusBadRequest, fmt.Sprintf("service %s takes no %s requests", service, kind))
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

func (e *Entry) refuseByQueueWait(policy bundle.Policy, now time.Time) error {
	rule := findRule(policy, bundle.RuleQueueWaitOver)
	if rule == nil {
		return nil
	}
	wait := e.config.Selector.QueueWait(serviceKey(policy.Team, policy.Service), now)
	if float64(wait.Milliseconds()) <= rule.Limit {
		return nil
	}
	return byRule(policy, rule, NotRun, fmt.Sprintf("queue wait is %d ms", wait.Milliseconds()))
}

// searchSnapshots runs the query on one snapshot, and again on another when the
// first is no longer served and time allows.
func (e *Entry) searchSnapshots(ctx context.Context, request SearchRequest, policy bundle.Policy, arrived time.Time) (*Answer, error) {
	fingerprint := crashguard.Fingerprint(request.Team, request.Service, request.Query)
	if err := e.config.Guard.Admit(fingerprint, crashLimit(policy), arrived); err != nil {
		return nil, refuseCrashing(policy, NotRun, err)
	}
	excluded := make(map[int64]bool)
	run := &runRecord{}
	for restarts := 0; ; restarts++ {
		pinned, err := e.pin(policy, excluded, run.statement())
		if err != nil {
			return nil, err
		}
		q := newQuery(e, request, policy, pinned, fingerprint, arrived, run)
		q.mayRestart = restarts < maxRestarts
		answer, err := q.run(ctx)
		if !errors.Is(err, errSnapshotGone) {
			return answer, err
		}
		e.config.Metrics.Count("searches.restarted", 1)
		excluded[pinned.Version] = true
		if !e.hasOther(ctx, policy, excluded) {
			// Nothing else is offered: the rest of the old snapshot is the answer.
			clear(excluded)
			restarts = maxRestarts
		}
	}
}

// pin chooses the snapshot of a query. The statement is that of a refusal: after
// a restart, parts of the query may have run.
func (e *Entry) pin(policy bundle.Policy, excluded map[int64]bool, run RunStatement) (snapshot.Snapshot, error) {
	manifest, ok := e.config.Control.Manifest(policy.Team, policy.Service)
	if !ok {
		return snapshot.Snapshot{}, shortage(run, ShortageIndexManifest, "no manifest of this service is known yet")
	}
	now := e.config.Now()
	replicas := func(shard int) []string {
		servers := e.config.View.Replicas(policy.Team, policy.Service, shard, now)
		ids := make([]string, 0, len(servers))
		for _, s := range servers {
			ids = append(ids, s.ID)
		}
		return ids
	}
	pinned, ok := snapshot.Choose(manifest, replicas, e.config.Served, excluded, now)
	if !ok {
		return snapshot.Snapshot{}, shortage(run, ShortageSnapshot, "no snapshot of the index is served")
	}
	return pinned, nil
}

// hasOther reports whether the manifest lists a snapshot to restart on. When it
// does not, the manifest may be out of date: backend servers change snapshots
// before every instance has learned of it.
func (e *Entry) hasOther(ctx context.Context, policy bundle.Policy, excluded map[int64]bool) bool {
	if e.offers(policy, excluded) {
		return true
	}
	e.config.Control.RefreshManifest(ctx, policy.Team, policy.Service)
	return e.offers(policy, excluded)
}

func (e *Entry) offers(policy bundle.Policy, excluded map[int64]bool) bool {
	manifest, ok := e.config.Control.Manifest(policy.Team, policy.Service)
	if !ok {
		return false
	}
	return slices.ContainsFunc(manifest.Snapshots, func(s snapshot.Snapshot) bool { return !excluded[s.Version] })
}

// refuseCrashing names the signed rule for crashing requests if the class has
// one; otherwise the protection of the backend servers is the shortage.
func refuseCrashing(policy bundle.Policy, run RunStatement, cause error) *Refusal {
	if rule := findRule(policy, bundle.RuleCrashSuspect); rule != nil {
		return byRule(policy, rule, run, cause.Error())
	}
	return shortage(run, ShortageCrashingRequest, cause.Error())
}

// serviceKey names a service in per-service statistics.
func serviceKey(team, service string) string {
	return team + "/" + service
}
