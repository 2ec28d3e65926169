package selection

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// largeShards is about the number of shards of the largest intended service.
const largeShards = 1000

func largeService() (s *Selector, shards [][]membership.BackendServer) {
	s = newSelector()
	for i := range largeShards {
		shards = append(shards, shard(i, 2))
		s.Order(epoch, shards[i], "z")
	}
	return s, shards
}

// BenchmarkOrder orders the replicas of one shard. It also reports the heap used per
// tracked backend server, and the remaining heap of its service.
func BenchmarkOrder(b *testing.B) {
	s, shards := largeService()
	for i := 0; b.Loop(); i++ {
		s.Order(epoch, shards[i%largeShards], "z")
	}
	full := heapBytes()
	clear(s.servers)
	clear(s.services["t/s"].servers)
	s.servers, s.services["t/s"].servers, s.scratch = nil, nil, nil
	empty := heapBytes()
	b.ReportMetric(float64(full-empty)/(2*largeShards), "B/server")
	delete(s.services, "t/s")
	b.ReportMetric(float64(empty-heapBytes()), "B/service")
	runtime.KeepAlive(s)
}

// BenchmarkBeginDone records one attempt. The clock advances as at 100,000 attempts per
// second.
func BenchmarkBeginDone(b *testing.B) {
	s, shards := largeService()
	now := epoch
	for i := 0; b.Loop(); i++ {
		now = now.Add(10 * time.Microsecond)
		observe(s, shards[i%largeShards][i%2].ID, 10*time.Millisecond, ok, now)
	}
}

// BenchmarkServerMemory reports the heap used for all tracked backend servers of one
// service.
func BenchmarkServerMemory(b *testing.B) {
	for _, servers := range []int{240, 480, 960, 1900} {
		var shards [][]membership.BackendServer
		for i := range servers / 2 {
			shards = append(shards, shard(i, 2))
		}
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			for range b.N {
				before, s := heapBytes(), newSelector()
				for _, replicas := range shards {
					s.Order(epoch, replicas, "z")
				}
				b.ReportMetric(float64(heapBytes()-before), "heapB")
				runtime.KeepAlive(s)
			}
		})
	}
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
