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

// BenchmarkRanking measures the work after a change of the usable instances,
// which ranks all backend servers, after a drain notice of a backend server, and
// the lookup in between.
func BenchmarkRanking(b *testing.B) {
	for _, size := range []int{7, 40, 440, 1000} {
		v := viewOf(benchMembers(size))
		at := func(i int) time.Time { return start.Add(time.Duration(i)) }
		changes := map[string]func(i int){
			"instance": func(i int) { v.ReportCall("i1", i%(suspicionFailures+1) == 0, at(i)) },
			"drain":    func(i int) { v.Drain("x1", fmt.Sprint(i), at(i)) },
			"lookup":   func(int) {},
		}
		for name, change := range changes {
			b.Run(fmt.Sprintf("%s/instances=%d", name, size), func(b *testing.B) {
				b.ReportAllocs()
				for i := range b.N {
					change(i)
					v.Owners("s1", at(i))
				}
			})
		}
	}
}
