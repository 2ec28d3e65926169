package oracle

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"sync"

	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

const fractionTolerance = 1e-6

// Search is a request whose answer is checked.
type Search struct {
	Team    string
	Service string
	Query   string
	Limit   int
}

// SearchCheck checks the answers of one service. It is safe for concurrent
// use.
type SearchCheck struct {
	data  Data
	known func() []int64 // versions ever published

	mu       sync.Mutex
	complete map[expectKey][]Hit // guarded by mu; expected hits without missing ranges
}

type expectKey struct {
	version int64
	query   string
	limit   int
}

// NewSearchCheck returns a check against a service's data. known returns the
// snapshot versions that were ever published.
func NewSearchCheck(data Data, known func() []int64) *SearchCheck {
	return &SearchCheck{data: data, known: known, complete: map[expectKey][]Hit{}}
}

// Check returns the invariants that an answer breaks.
func (c *SearchCheck) Check(search Search, answer Answer) []Problem {
	if answer.Team != search.Team || answer.Service != search.Service {
		return []Problem{{WrongAnswer, answer.RequestID, "the answer is of another service"}}
	}
	if !slices.Contains(c.known(), answer.Snapshot) {
		detail := fmt.Sprintf("snapshot %d was never published", answer.Snapshot)
		return []Problem{{WrongAnswer, answer.RequestID, detail}}
	}
	problems := c.checkCoverage(answer)
	return append(problems, c.checkHits(search, answer)...)
}

// Expected returns the hits of a search on a snapshot without the given
// ranges.
func (c *SearchCheck) Expected(search Search, version int64, missing []Missing) []Hit {
	key := expectKey{version, search.Query, search.Limit}
	if len(missing) > 0 {
		return c.expected(key, missing)
	}
	c.mu.Lock()
	hits, ok := c.complete[key]
	c.mu.Unlock()
	if ok {
		return hits
	}
	hits = c.expected(key, nil)
	c.mu.Lock()
	c.complete[key] = hits
	c.mu.Unlock()
	return hits
}

func (c *SearchCheck) expected(key expectKey, missing []Missing) []Hit {
	var hits []Hit
	for _, document := range c.data.All(key.version) {
		if matches(key.query, document.Key) && !covered(missing, document.Key) {
			hits = append(hits, Hit{Key: document.Key, Score: document.Score, Document: document.Text})
		}
	}
	sort.Slice(hits, func(a, b int) bool { return before(hits[a], hits[b]) })
	limit := key.limit
	if limit <= 0 {
		limit = standin.DefaultLimit
	}
	return hits[:min(limit, len(hits))]
}

// before reports whether a ranks before b.
func before(a, b Hit) bool {
	if a.Score != b.Score {
		return a.Score > b.Score
	}
	return a.Key < b.Key
}

// covered reports whether one of the ranges holds the key.
func covered(ranges []Missing, key string) bool {
	return slices.ContainsFunc(ranges, func(m Missing) bool { return m.contains(key) })
}

func (c *SearchCheck) checkHits(search Search, answer Answer) []Problem {
	expected := c.Expected(search, answer.Snapshot, answer.Coverage.Missing)
	if slices.Equal(expected, answer.Hits) {
		return nil
	}
	for _, hit := range answer.Hits {
		if version, other := c.otherSnapshot(hit, answer.Snapshot); other {
			detail := fmt.Sprintf("hit %s is of snapshot %d, the answer of %d", hit.Key, version, answer.Snapshot)
			return []Problem{{MixedSnapshots, answer.RequestID, detail}}
		}
	}
	if lacking := lackingHit(expected, answer.Hits); lacking != "" && c.genuine(search, answer) {
		detail := fmt.Sprintf("hit %s lies in a range reported as covered and is not in the answer", lacking)
		return []Problem{{FalseCoverage, answer.RequestID, detail}}
	}
	detail := fmt.Sprintf("%d hits differ from the %d expected for %q", len(answer.Hits), len(expected), search.Query)
	return []Problem{{WrongAnswer, answer.RequestID, detail}}
}

// otherSnapshot reports whether a hit is of a known snapshot other than the
// given one.
func (c *SearchCheck) otherSnapshot(hit Hit, version int64) (int64, bool) {
	if c.holds(version, hit) {
		return 0, false
	}
	for _, other := range c.known() {
		if other != version && c.holds(other, hit) {
			return other, true
		}
	}
	return 0, false
}

func (c *SearchCheck) holds(version int64, hit Hit) bool {
	documents := c.data.All(version)
	i := sort.Search(len(documents), func(i int) bool { return documents[i].Key >= hit.Key })
	return i < len(documents) && documents[i].Key == hit.Key && documents[i].Text == hit.Document && documents[i].Score == hit.Score
}

// genuine reports whether every hit is a document of the answer's snapshot that
// matches the query, best first and without repetition.
func (c *SearchCheck) genuine(search Search, answer Answer) bool {
	for i, hit := range answer.Hits {
		if !matches(search.Query, hit.Key) || !c.holds(answer.Snapshot, hit) {
			return false
		}
		if i > 0 && !before(answer.Hits[i-1], hit) {
			return false
		}
	}
	return true
}

// lackingHit returns the first expected hit that the answer doesn't have.
func lackingHit(expected, got []Hit) string {
	for _, hit := range expected {
		if !slices.Contains(got, hit) {
			return hit.Key
		}
	}
	return ""
}

func (c *SearchCheck) checkCoverage(answer Answer) []Problem {
	manifest := c.data.Snapshot(answer.Snapshot)
	detail := coverageFault(manifest, answer.Coverage)
	if detail == "" {
		detail = hitInMissingRange(answer)
	}
	if detail == "" {
		return nil
	}
	return []Problem{{FalseCoverage, answer.RequestID, detail}}
}

func coverageFault(manifest snapshot.Snapshot, coverage Coverage) string {
	total := manifest.Documents()
	if coverage.DocumentsTotal != total {
		return fmt.Sprintf("documents_total is %d, the manifest has %d", coverage.DocumentsTotal, total)
	}
	missing, detail := missingDocuments(manifest, coverage.Missing)
	if detail != "" {
		return detail
	}
	if coverage.Documents != total-missing {
		return fmt.Sprintf("documents is %d, total less missing is %d", coverage.Documents, total-missing)
	}
	fraction := float64(coverage.Documents) / float64(total)
	if math.Abs(coverage.Fraction-fraction) > fractionTolerance {
		return fmt.Sprintf("fraction is %f, documents by total is %f", coverage.Fraction, fraction)
	}
	if coverage.Complete != (len(coverage.Missing) == 0) {
		return fmt.Sprintf("complete is %t with %d missing ranges", coverage.Complete, len(coverage.Missing))
	}
	return ""
}

func missingDocuments(manifest snapshot.Snapshot, missing []Missing) (total int64, detail string) {
	seen := map[int]bool{}
	for _, m := range missing {
		part := snapshot.Partition{Shard: m.Shard, From: m.From, To: m.To, Documents: m.Documents}
		if !slices.Contains(manifest.Partitions, part) {
			return 0, fmt.Sprintf("missing range of shard %d is no partition of the manifest", m.Shard)
		}
		if seen[m.Shard] {
			return 0, fmt.Sprintf("shard %d is listed twice as missing", m.Shard)
		}
		seen[m.Shard] = true
		total += m.Documents
	}
	return total, ""
}

func hitInMissingRange(answer Answer) string {
	for _, hit := range answer.Hits {
		if covered(answer.Coverage.Missing, hit.Key) {
			return fmt.Sprintf("hit %s lies in a range reported as missing", hit.Key)
		}
	}
	return ""
}
