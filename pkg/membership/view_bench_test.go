package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/capacity"
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
				defer capacity.MeasureCPU(b)()
				for i := range b.N {
					change(i)
					v.Owners("s1", at(i))
				}
			})
		}
	}
}

// BenchmarkMembers applies a list of instances and backend servers in the
// proportion of the target size, ranks it, and reports the heap that the view
// keeps for it.
func BenchmarkMembers(b *testing.B) {
	for _, size := range []int{40, 220, 440, 1000} {
		m := fixture(size, 8)
		for i := range size*1900/440 - 2 {
			m.BackendServers = append(m.BackendServers, BackendServer{
				ID: fmt.Sprintf("x%d", i), Team: "t", Shard: i / 2, Zone: fmt.Sprintf("z%d", i%8), State: StateLive,
			})
		}
		b.Run(fmt.Sprintf("members=%d", len(m.Instances)+len(m.BackendServers)), func(b *testing.B) {
			b.ReportAllocs()
			v, before := NewView("i0", "z0"), heap()
			report := capacity.MeasureCPU(b)
			for i := range b.N {
				v.Apply(m, int64(i+1))
				v.Owners("s1", start)
			}
			report()
			b.ReportMetric(float64(heap())-float64(before), "heapB")
			runtime.KeepAlive(v)
		})
	}
}

func heap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
