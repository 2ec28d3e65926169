package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/capacity"
)

// benchMembers returns a list of the given number of instances and of 1,900
// backend servers in 8 availability zones.
func benchMembers(instances int) Members {
	m := testMembers(instances, 8)
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

// BenchmarkRanking measures a look-up of owners after a change of the usable
// instances, which ranks the owners of all backend servers again, after a drain
// notice of a backend server, and without a change.
func BenchmarkRanking(b *testing.B) {
	for _, size := range []int{7, 40, 440, 1000} {
		v := viewOf(benchMembers(size))
		at := func(i int) time.Time { return testStart.Add(time.Duration(i)) }
		changes := map[string]func(i int){
			"instance": func(i int) { v.RecordCall("i1", i%(suspicionFailures+1) == 0, at(i)) },
			"drain":    func(i int) { v.RecordServerDrain("x1", fmt.Sprint(i), at(i)) },
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

// BenchmarkMembers measures applying a list and ranking the owners of its backend
// servers, with instances and backend servers in the proportion of the target
// size. It also reports the heap that the view keeps for the list.
func BenchmarkMembers(b *testing.B) {
	for _, size := range []int{40, 220, 440, 1000} {
		m := testMembers(size, 8)
		for i := range size*1900/440 - 2 {
			m.BackendServers = append(m.BackendServers, BackendServer{
				ID: fmt.Sprintf("x%d", i), Team: "t", Shard: i / 2, Zone: fmt.Sprintf("z%d", i%8), State: StateLive,
			})
		}
		b.Run(fmt.Sprintf("members=%d", len(m.Instances)+len(m.BackendServers)), func(b *testing.B) {
			b.ReportAllocs()
			v, before := NewView("i0", "z0"), heapBytes()
			report := capacity.MeasureCPU(b)
			for i := range b.N {
				v.Apply(m, int64(i+1))
				v.Owners("s1", testStart)
			}
			report()
			b.ReportMetric(float64(heapBytes())-float64(before), "heapB")
			runtime.KeepAlive(v)
		})
	}
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
