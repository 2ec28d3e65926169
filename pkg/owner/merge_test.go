package owner

import (
	"fmt"
	"slices"
	"testing"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a cut to the limit that loses a hit of the answer. Each shard
// replies once, or twice when it is hedged; its replies share frames with any
// others, and the entry instance uses the first reply of each shard.
func TestCutFramesHoldAllHitsOfAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 6).Draw(t, "limit")
		frames := make([]*peerpb.SearchFrame, rapid.IntRange(1, 4).Draw(t, "frames"))
		for i := range frames {
			frames[i] = &peerpb.SearchFrame{}
		}
		var all []*peerpb.Hit
		for shard := range int32(rapid.IntRange(1, 5).Draw(t, "shards")) {
			var hits []*peerpb.Hit
			for n, score := range rapid.SliceOfN(rapid.IntRange(0, 9), 0, 5).Draw(t, "scores") {
				hits = append(hits, &peerpb.Hit{Shard: shard, Key: fmt.Sprint(shard, n), Score: float64(score)})
			}
			all = append(all, hits...)
			for _, frameIndex := range rapid.SliceOfNDistinct(rapid.IntRange(0, len(frames)-1), 1, 2, rapid.ID).Draw(t, "in frames") {
				frames[frameIndex].Results = append(frames[frameIndex].Results, &peerpb.ShardResult{Shard: shard})
				frames[frameIndex].Hits = append(frames[frameIndex].Hits, hits...)
			}
		}
		var got []*peerpb.Hit
		merged := map[int32]bool{}
		for _, frame := range frames {
			mergeHits(frame, limit)
			for _, r := range frame.Results {
				if merged[r.Shard] {
					continue
				}
				merged[r.Shard] = true
				for _, h := range frame.Hits {
					if h.Shard == r.Shard {
						got = append(got, h)
					}
				}
			}
		}
		for _, hits := range [][]*peerpb.Hit{all, got} {
			slices.SortFunc(hits, CompareHits)
		}
		if !slices.Equal(all[:min(limit, len(all))], got[:min(limit, len(got))]) {
			t.Fatalf("best hits of all shards: %v, best hits of the frames: %v", all, got)
		}
	})
}

// Guards against owners of different ranks that together exceed the connections
// of a backend server, and against a rank without any connection.
func TestQuotasOfAllRanksStayWithinConnections(t *testing.T) {
	for connections := 1; connections <= 1000; connections++ {
		sum := 0
		for rank := 1; rank <= 3; rank++ {
			quota := connectionQuota(rank, connections)
			assert.Assert(t, quota >= 1)
			sum += quota
		}
		assert.Assert(t, sum <= max(connections, 3), "quotas sum to %d, limit is %d connections", sum, connections)
	}
}
