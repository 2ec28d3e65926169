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

// checkOutcome returns what is wrong with the answer or refusal of one query, or
// nil. It compares them with the documents of the snapshots and with the
// attempts that the owners received.
func (c *cluster) checkOutcome(id string, minCoverage float64, answer *Answer, err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	received := c.received[id]
	if err := c.checkAttempts(received); err != nil {
		return err
	}
	if err != nil {
		return checkRefusal(received, err)
	}
	pinned, ok := c.snapshots[answer.Snapshot]
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
	report := answer.Coverage
	fraction := float64(covered) / numDocuments
	if len(missing) > 0 || report.Documents != covered || report.DocumentsTotal != numDocuments || report.Fraction != fraction || report.Complete != (len(report.Missing) == 0) {
		return fmt.Errorf("coverage is stated as %+v, covered are %d documents", report, covered)
	}
	if fraction < minCoverage {
		return fmt.Errorf("coverage %v is below the minimum", fraction)
	}
	return checkHits(want, answer.Hits)
}

// checkHits requires exactly the best hits of the covered ranges.
func checkHits(want []*peerpb.Hit, got []Hit) error {
	slices.SortFunc(want, owner.CompareHits)
	want = want[:min(len(want), searchLimit)]
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

// checkRefusal requires that a "not run" statement is true and that the refusal
// names a rule or a shortage.
func checkRefusal(received []*receivedAttempt, err error) error {
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		return fmt.Errorf("neither answer nor refusal: %w", err)
	}
	if refusal.Reason.Rule == "" && refusal.Reason.Shortage == "" {
		return fmt.Errorf("refusal without a reason: %+v", refusal)
	}
	for _, a := range received {
		if refusal.Run == NotRun && a.run != peerpb.RunState_RUN_STATE_NOT_RUN {
			return fmt.Errorf("refused as not run, attempt %d on %s may have run", a.Attempt, a.BackendServerId)
		}
	}
	return nil
}

// checkAttempts requires that attempt numbers are unique, that no backend server
// is asked that the view excludes, and that in each run of a query a replica is
// asked at most once through each of its owners and once by the entry instance
// itself, after no owner answered.
func (c *cluster) checkAttempts(received []*receivedAttempt) error {
	if len(c.excludedServers) > 0 {
		return fmt.Errorf("asked backend servers that the view excludes: %v", c.excludedServers)
	}
	numbers := map[int32]bool{}
	perServer := map[string]int{}
	for _, a := range received {
		if numbers[a.Attempt] {
			return fmt.Errorf("attempt number %d is used twice", a.Attempt)
		}
		numbers[a.Attempt] = true
		key := fmt.Sprint(a.snapshot, a.BackendServerId)
		if perServer[key]++; perServer[key] > (numOwners+1)*int(1+c.counters["searches.restarted"]) {
			return fmt.Errorf("backend server %s is asked %d times", a.BackendServerId, perServer[key])
		}
	}
	return nil
}

// checkEnded requires that each query sends nothing after its end and that all
// of its streams are closed.
func (c *cluster) checkEnded() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, end := range c.endedAt {
		if err := c.checkCanary(c.startedAt[id], c.received[id]); err != nil {
			return fmt.Errorf("query %s: %w", id, err)
		}
		for _, a := range c.received[id] {
			if a.receivedAt.After(end) {
				return fmt.Errorf("query %s: attempt %d is sent after the end", id, a.Attempt)
			}
		}
	}
	if len(c.openStreams) > 0 {
		return fmt.Errorf("%d streams are open after the queries have ended", len(c.openStreams))
	}
	return nil
}

// checkCanary requires that one shard is asked at a time until one has answered
// or the maximum wait for the canary has passed.
func (c *cluster) checkCanary(start time.Time, received []*receivedAttempt) error {
	if c.canaryWait == 0 {
		return nil
	}
	until := start.Add(c.canaryWait)
	for _, a := range received {
		if a.answered && a.endedAt.Before(until) {
			until = a.endedAt
		}
	}
	for i, b := range received {
		for _, a := range received[:i] {
			if b.receivedAt.Before(until) && a.Shard != b.Shard && (a.endedAt.IsZero() || a.endedAt.After(b.receivedAt)) {
				return fmt.Errorf("shard %d is asked while the canary on shard %d runs", b.Shard, a.Shard)
			}
		}
	}
	return nil
}
