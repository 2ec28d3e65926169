package selection

import (
	"runtime"
	"testing"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// largeShards is about the number of shards of the target size.
const largeShards = 1000

func largeService() (shards [][]membership.BackendServer) {
	for i := range largeShards {
		shards = append(shards, shard(i, 2))
	}
	return shards
}

// BenchmarkOrder orders the replicas of one shard.
func BenchmarkOrder(b *testing.B) {
	s, shards := newSelector(), largeService()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s.Order(epoch, shards[i%largeShards], "z")
	}
}

// BenchmarkBeginDone records one attempt, with time passing as at 100,000
// attempts a second.
func BenchmarkBeginDone(b *testing.B) {
	s, shards := newSelector(), largeService()
	for _, replicas := range shards {
		s.Order(epoch, replicas, "z")
	}
	now := epoch
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(10 * time.Microsecond)
		observe(s, shards[i%largeShards][i%2].ID, 10*time.Millisecond, ok, now)
	}
}

// BenchmarkServerMemory reports the heap of one known backend server and of
// one service.
func BenchmarkServerMemory(b *testing.B) {
	shards := largeService()
	for b.Loop() {
		s := newSelector()
		empty := heap()
		s.Order(epoch, shard(0, 1), "z")
		service := heap()
		for _, replicas := range shards {
			s.Order(epoch, replicas, "z")
		}
		servers := heap()
		b.ReportMetric(float64(service-empty), "B/service")
		b.ReportMetric(float64(servers-service)/(2*largeShards), "B/server")
		runtime.KeepAlive(s)
	}
}

func heap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
