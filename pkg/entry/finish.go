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

// answer returns the answer, or a refusal if the required coverage is not
// reached.
func (q *query) answer() (*Answer, error) {
	report := q.account.Report(q.pendingReason())
	if report.Fraction < requiredCoverage(q.policy) {
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
		Hits:          q.mergeHits(),
		Attempts:      int(q.attempts),
		Shards:        len(q.shards),
	}, nil
}

// pendingReason returns the reason that callers see for shards without a result.
func (q *query) pendingReason() coverage.Reason {
	if q.isCoverageUnreachable() {
		return coverage.ReasonGivenUp
	}
	return coverage.ReasonNoReply
}

// mergeHits merges the hits of all shards, best first, up to the limit of the
// request.
func (q *query) mergeHits() []Hit {
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

// refuseCoverage returns a refusal that names the signed coverage rule if the
// answer breaks one, and otherwise the resource that the first missing shard
// lacked.
func (q *query) refuseCoverage(report coverage.Report) *Refusal {
	reachable := q.account.Reachable()
	cause := firstMissing(report, q.pendingReason())
	detail := fmt.Sprintf("covered %.4f, at most %.4f reachable, %.4f required; first missing: shard %d (%s)",
		report.Fraction, reachable, requiredCoverage(q.policy), cause.Shard, cause.Reason)
	statement := q.runRecord.statement()
	if rule := findRule(q.policy, bundle.RuleCoverageBelow); rule != nil && report.Fraction < rule.Limit {
		return ruleRefusal(q.policy, rule, statement, detail)
	}
	refusal := shortageRefusal(statement, shortageOf(cause.Reason), detail)
	if !q.now().Before(q.deadline.Add(-replyReserve)) {
		refusal.Status = http.StatusGatewayTimeout
	}
	return refusal
}

// firstMissing returns a shard that failed for a reason of its own, in
// preference to one that is missing only because the query ended.
func firstMissing(report coverage.Report, pending coverage.Reason) coverage.MissingShard {
	for _, m := range report.Missing {
		if m.Reason != pending {
			return m
		}
	}
	if len(report.Missing) > 0 {
		return report.Missing[0]
	}
	return coverage.MissingShard{}
}

// shortageOf maps the reason of a missing shard to the resource that was short:
// capacity of backend servers that were reached, or else coverage of the index.
func shortageOf(reason coverage.Reason) Shortage {
	switch reason {
	case missingReason(peerpb.ResultStatus_SHED), missingReason(peerpb.ResultStatus_DEADLINE):
		return ShortageCapacity
	default:
		return ShortageCoverage
	}
}
