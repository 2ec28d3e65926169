package peering

import (
	"fmt"
	"log/slog"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against shares of a server's rate limit that add up to more than the limit, its remote
// share and its share for probes, or to so little that the server stays idle; against more
// instances with a share than the limit has requests a second, and against one that never asks
// the server again.
func TestRateSharesAddUpToTheLimit(t *testing.T) {
	const rounding = 1e-6
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.1, 200).Draw(t, "limit")
		var all []Member
		for n := range rapid.IntRange(1, 30).Draw(t, "instances") {
			member := memberIn(fmt.Sprint("i", n), rapid.SampledFrom([]string{"z1", "z2", "z3"}).Draw(t, "zone"))
			member.Millicores = rapid.IntRange(100, 800).Draw(t, "millicores")
			all = append(all, member)
		}
		local, remote, sharers, localMembers := 0.0, 0.0, 0, 0
		for _, self := range all {
			m := NewMembers(self, time.Now, slog.New(slog.DiscardHandler))
			for _, other := range all {
				m.Merge(other, 0)
			}
			share := m.RateShare("server", "z1", limit)
			assert.Assert(t, share > 0)
			if share >= minSharedRate-rounding {
				sharers++
			}
			if self.Zone == "z1" {
				local += share
				localMembers++
			} else {
				remote += share
			}
		}
		const withProbes = 1 + probeRateShare
		assert.Assert(t, local <= withProbes*limit+rounding)
		assert.Assert(t, float64(sharers) <= (1+remoteRateShare)*limit/minSharedRate+rounding)
		if localMembers > 0 {
			assert.Assert(t, remote <= withProbes*remoteRateShare*limit+rounding)
			assert.Assert(t, limit < minSharedRate || local >= limit-rounding, "%.2f of %.2f", local, limit)
		} else {
			assert.Assert(t, remote <= withProbes*limit+rounding)
		}
	})
}

// Guards against a server that ends the process by naming an absurd rate limit: above 1e19 the
// number of instances with a share was negative on x86-64, and an index out of range.
func TestAbsurdRateLimitsAreShared(t *testing.T) {
	for _, limit := range []float64{1e20, math.MaxFloat64, math.Inf(1), 0, -1e20, math.Inf(-1), math.NaN()} {
		for _, instances := range []int{1, 3} {
			self := memberIn("i0", "z1")
			m := NewMembers(self, time.Now, slog.New(slog.DiscardHandler))
			for n := range instances {
				m.Merge(memberIn(fmt.Sprint("i", n), "z1"), 0)
			}
			m.RateShare("server", "z1", limit)
			m.RateShare("server", "z2", limit)
		}
	}
}
