package entry

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/owner"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
)

// judge returns what is wrong with the outcome of one query, or nil. It knows
// the documents of each snapshot and what the owners were asked.
func (w *world) judge(id string, minCoverage float64, answer *Answer, err error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	asked := w.asked[id]
	if err := w.judgeAttempts(asked); err != nil {
		return err
	}
	if err != nil {
		return judgeRefusal(asked, err)
	}
	pinned, ok := w.index[answer.Snapshot]
	if !ok {
		return fmt.Errorf("snapshot %d does not exist", answer.Snapshot)
	}
	var want []*peerpb.Hit
	covered := int64(0)
	missing := answer.Coverage.Missing
	for _, p := range pinned.Partitions {
		if len(missing) > 0 && missing[0].Shard == p.Shard {
			m := missing[0]
			missing = missing[1:]
			if (snapshot.Partition{Shard: m.Shard, From: m.From, To: m.To, Documents: m.Documents}) != p || m.Reason == "" {
				return fmt.Errorf("missing range is stated as %+v, it is %+v", m, p)
			}
			continue
		}
		covered += p.Documents
		want = append(want, documents(pinned.Version, p)...)
	}
	c := answer.Coverage
	fraction := float64(covered) / worldDocuments
	if len(missing) > 0 || c.Documents != covered || c.DocumentsTotal != worldDocuments || c.Fraction != fraction || c.Complete != (len(c.Missing) == 0) {
		return fmt.Errorf("coverage is stated as %+v, covered are %d documents", c, covered)
	}
	if fraction < minCoverage {
		return fmt.Errorf("coverage %v is below the minimum", fraction)
	}
	return judgeHits(want, answer.Hits)
}

// judgeHits requires exactly the best hits of the covered ranges.
func judgeHits(want []*peerpb.Hit, got []Hit) error {
	slices.SortFunc(want, owner.CompareHits)
	want = want[:min(len(want), worldLimit)]
	for n, h := range want {
		if n >= len(got) || got[n] != (Hit{Key: h.Key, Score: h.Score, Document: h.Document}) {
			return fmt.Errorf("hits are %v, hit %d should be %v", got, n, h)
		}
	}
	if len(got) > len(want) {
		return fmt.Errorf("%d hits, %d exist", len(got), len(want))
	}
	return nil
}

// judgeRefusal requires that "not run" is true and that the reason is named.
func judgeRefusal(asked []*askedAttempt, err error) error {
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		return fmt.Errorf("neither answer nor refusal: %w", err)
	}
	if refusal.Reason.Rule == "" && refusal.Reason.Shortage == "" {
		return fmt.Errorf("refusal without a reason: %+v", refusal)
	}
	for _, a := range asked {
		if refusal.Run == NotRun && a.run != peerpb.RunState_RUN_STATE_NOT_RUN {
			return fmt.Errorf("refused as not run, attempt %d on %s may have run", a.Attempt, a.BackendServerId)
		}
	}
	return nil
}

// judgeAttempts requires that in each start of the query, each replica is asked
// at most once by each of its owners, and once by the entry instance itself when
// no owner answered, under different attempt numbers, and none that the view
// excludes.
func (w *world) judgeAttempts(asked []*askedAttempt) error {
	if len(w.excluded) > 0 {
		return fmt.Errorf("asked backend servers that the view excludes: %v", w.excluded)
	}
	numbers := map[int32]bool{}
	perServer := map[string]int{}
	for _, a := range asked {
		if numbers[a.Attempt] {
			return fmt.Errorf("attempt number %d is used twice", a.Attempt)
		}
		numbers[a.Attempt] = true
		key := fmt.Sprint(a.snapshot, a.BackendServerId)
		if perServer[key]++; perServer[key] > (worldRanks+1)*int(1+w.counts["searches.restarted"]) {
			return fmt.Errorf("backend server %s is asked %d times", a.BackendServerId, perServer[key])
		}
	}
	return nil
}

// judgeEnds requires that nothing is sent after a query has ended and that all
// of its streams are cancelled.
func (w *world) judgeEnds() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, end := range w.ends {
		if err := w.judgeCanary(w.begins[id], w.asked[id]); err != nil {
			return fmt.Errorf("query %s: %w", id, err)
		}
		for _, a := range w.asked[id] {
			if a.at.After(end) {
				return fmt.Errorf("query %s: attempt %d is sent after the end", id, a.Attempt)
			}
		}
	}
	if len(w.open) > 0 {
		return fmt.Errorf("%d streams are open after the queries have ended", len(w.open))
	}
	return nil
}

// judgeCanary requires that one shard is asked at a time until one has answered
// or the longest wait has passed.
func (w *world) judgeCanary(begin time.Time, asked []*askedAttempt) error {
	if w.canary == 0 {
		return nil
	}
	until := begin.Add(w.canary)
	for _, a := range asked {
		if a.right && a.over.Before(until) {
			until = a.over
		}
	}
	for i, b := range asked {
		for _, a := range asked[:i] {
			if b.at.Before(until) && a.Shard != b.Shard && (a.over.IsZero() || a.over.After(b.at)) {
				return fmt.Errorf("shard %d is asked while the canary on shard %d runs", b.Shard, a.Shard)
			}
		}
	}
	return nil
}
