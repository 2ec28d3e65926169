package owner

import (
	"cmp"
	"slices"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// mergeHits sorts the hits of a frame, best first, and keeps at most limit of
// them; 0 keeps all. The answer loses no hits when the entry instance ignores one
// of the frame's shards, because it does so only when it already has the same
// hits of that shard and snapshot from another replica.
func mergeHits(frame *peerpb.SearchFrame, limit int) {
	slices.SortFunc(frame.Hits, CompareHits)
	if limit > 0 && len(frame.Hits) > limit {
		frame.Hits = frame.Hits[:limit]
	}
}

// CompareHits orders hits by descending score, then by key.
func CompareHits(a, b *peerpb.Hit) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	return cmp.Compare(a.Key, b.Key)
}
