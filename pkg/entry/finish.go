package entry

import (
	"fmt"
	"net/http"
	"slices"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
	"github.com/sycamorelift/sycamorelift/pkg/coverage"
	"github.com/sycamorelift/sycamorelift/pkg/owner"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// answer returns the answer, or a refusal below the minimum coverage.
func (q *query) answer() (*Answer, error) {
	report := q.account.Report(q.pendingReason())
	if report.Fraction < leastCoverage(q.policy) {
		return nil, q.refuseCoverage(report)
	}
	return &Answer{
		RequestID:     q.request.RequestID,
		Team:          q.policy.Team,
		Service:       q.policy.Service,
		Class:         q.policy.Class,
		Instance:      q.entry.config.Self.ID,
		BundleVersion: q.policy.BundleVersion,
		Snapshot:      q.snapshot.Version,
		Coverage:      report,
		Hits:          q.hits(),
		Attempts:      int(q.attempts),
		Shards:        len(q.shards),
	}, nil
}

// pendingReason tells why shards without a result are missing.
func (q *query) pendingReason() coverage.Reason {
	if q.hopeless() {
		return coverage.ReasonGivenUp
	}
	return coverage.ReasonNoReply
}

// hits merges the hits of all shards, best first.
func (q *query) hits() []Hit {
	var all []*peerpb.Hit
	for _, s := range q.shards {
		all = append(all, s.hits...)
	}
	slices.SortFunc(all, owner.CompareHits)
	if len(all) > q.request.Limit {
		all = all[:q.request.Limit]
	}
	hits := make([]Hit, 0, len(all))
	for _, h := range all {
		hits = append(hits, Hit{Key: h.Key, Score: h.Score, Document: h.Document})
	}
	return hits
}

// refuseCoverage names the signed coverage rule, or the shards that were
// missing.
func (q *query) refuseCoverage(report coverage.Report) *Refusal {
	possible := q.account.Reachable()
	first := firstMissing(report, q.pendingReason())
	detail := fmt.Sprintf("covered %.4f, at most %.4f reachable, %.4f required; first missing: shard %d (%s)",
		report.Fraction, possible, leastCoverage(q.policy), first.Shard, first.Reason)
	statement := q.record.statement()
	if rule := findRule(q.policy, bundle.RuleCoverageBelow); rule != nil && report.Fraction < rule.Limit {
		return byRule(q.policy, rule, statement, detail)
	}
	refusal := shortage(statement, shortageOf(first.Reason), detail)
	if !q.now().Before(q.deadline.Add(-replyReserve)) {
		refusal.Status = http.StatusGatewayTimeout
	}
	return refusal
}

// firstMissing names a shard that failed, rather than one that was given up
// because of it.
func firstMissing(report coverage.Report, pending coverage.Reason) coverage.Missing {
	for _, m := range report.Missing {
		if m.Reason != pending {
			return m
		}
	}
	if len(report.Missing) > 0 {
		return report.Missing[0]
	}
	return coverage.Missing{}
}

// shortageOf names what was short when a shard is missing for a reason: slots
// of backend servers that could be reached, or the documents themselves.
func shortageOf(reason coverage.Reason) Shortage {
	switch reason {
	case reasonOf(peerpb.ResultStatus_SHED), reasonOf(peerpb.ResultStatus_DEADLINE):
		return ShortageCapacity
	default:
		return ShortageCoverage
	}
}
