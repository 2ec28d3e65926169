package routing

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against matching a shorter prefix, or a longer one of another host.
func TestMatchTakesLongestPrefixOfHost(t *testing.T) {
	table := NewTable(3, []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	}, nil, Limits{})
	for path, want := range map[string]string{"/x/1": "short", "/x/y/1": "long", "/x/y/z/1": "long", "/x/y": "short"} {
		assert.Equal(t, table.Match("A.example:80", path).Name, want, path)
	}
	assert.Assert(t, table.Match("a.example", "/x") == nil)
	assert.Assert(t, table.Match("c.example", "/x/1") == nil)
}

// Guards against answers with fewer shards than the required share, and against requiring
// one shard too many because of floating-point errors.
func TestRequiredShardsRoundsUp(t *testing.T) {
	for _, c := range []struct {
		shards   int
		share    float64
		required int
	}{{20, 0.89, 18}, {30, 0.89, 27}, {20, 0.75, 15}, {90, 0.95, 86}, {100, 0.29, 29}, {20, 0, 1}, {3, 1, 3}} {
		route := Route{Shards: make([]string, c.shards), MinShardShare: c.share}
		assert.Equal(t, route.RequiredShards(), c.required, "%v", c)
	}
}

// Guards against proportions that hold only in the long run: after any number of requests
// the count of each service differs from its share by less than the number of services.
func TestWeightsKeepProportions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 9), 2, 5).Draw(t, "weights")
		route := &Route{Name: "r"}
		total := 0
		for i, w := range weights {
			route.WeightedServices = append(route.WeightedServices, WeightedService{Service: string(rune('a' + i)), Weight: w})
			total += w
		}
		picks := NewWeightedRoundRobin()
		counts := map[string]int{}
		for n := 1; n <= 3*total; n++ {
			counts[picks.Pick(route)]++
			for i, choice := range route.WeightedServices {
				exact := float64(n) * float64(weights[i]) / float64(total)
				off := float64(counts[choice.Service]) - exact
				assert.Assert(t, off < float64(len(weights)) && off > -float64(len(weights)))
			}
		}
		for i, choice := range route.WeightedServices {
			assert.Equal(t, counts[choice.Service], 3*weights[i])
		}
	})
}
