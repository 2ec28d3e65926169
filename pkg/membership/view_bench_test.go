package membership

import (
	"fmt"
	"testing"
	"time"
)

// benchMembers lists instances and 1,900 backend servers in 8 zones.
func benchMembers(instances int) Members {
	m := fixture(instances, 8)
	for i := range 1898 {
		m.BackendServers = append(m.BackendServers, BackendServer{
			ID:    fmt.Sprintf("x%d", i),
			Team:  "t",
			Shard: i / 2,
			Zone:  fmt.Sprintf("z%d", i%8),
			State: StateLive,
		})
	}
	return m
}

// BenchmarkRanking measures the ranking of all backend servers after a change,
// and the lookup in between.
func BenchmarkRanking(b *testing.B) {
	for _, size := range []int{7, 40, 440, 1000} {
		v := viewOf(benchMembers(size))
		b.Run(fmt.Sprintf("change/instances=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				v.Drain("x1", fmt.Sprint(i), start.Add(time.Duration(i)))
				v.Owners("s1", start)
			}
		})
		b.Run(fmt.Sprintf("lookup/instances=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				v.Owners("s1", start)
			}
		})
	}
}
