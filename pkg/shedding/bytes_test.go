package shedding

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against bytes beyond the bound, against bytes that stay counted after their request, and
// against less urgent requests that take the part kept for the most urgent.
func TestBytesStayWithinTheirBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		b := NewBytes(func() int64 { return limit })
		var leases []*Lease
		held := func(urgentToo bool) (sum int64) {
			for _, l := range leases {
				if urgentToo || !l.urgent {
					sum += l.held
				}
			}
			return sum
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(leases) > 0 && rapid.IntRange(0, 2).Draw(t, "end") == 0 {
				at := rapid.IntRange(0, len(leases)-1).Draw(t, "which")
				leases[at].Release()
				leases = append(leases[:at], leases[at+1:]...)
			} else {
				l := b.Lease(rapid.Bool().Draw(t, "urgent"))
				leases = append(leases, l)
				n, before := rapid.Int64Range(1, 400).Draw(t, "bytes"), held(true)
				bound := int64(limit)
				if !l.urgent {
					bound = limit * 3 / 4
				}
				assert.Equal(t, l.Grow(n), before+n <= bound)
			}
			assert.Equal(t, b.Held(), held(true))
			assert.Assert(t, held(true) <= limit && held(false) <= limit*3/4)
		}
	})
}
