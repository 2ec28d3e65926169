package backend

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"testing"

	"github.com/sycamorelift/sycamorelift/pkg/capacity"
)

// BenchmarkSearch measures one search over a reused loopback connection. It also
// reports the heap of an idle connection, both ends together.
func BenchmarkSearch(b *testing.B) {
	const connections = 200
	server := newRawServer(b, func(net.Conn, int32, *http.Request) (string, bool) { return searchReplyWith("documents", 9), false })
	pool := poolFor(b, server.address(), Options{MaxConnections: connections})
	for b.Loop() {
		if _, err := pool.Search(b.Context(), testCall); err != nil {
			b.Fatal(err)
		}
	}
	before, dialled := liveHeapBytes(), [connections]*connection{}
	for i := range dialled {
		dialled[i], _ = pool.acquire(b.Context(), true)
	}
	b.ReportMetric(float64(liveHeapBytes()-before)/connections, "B/connection")
	runtime.KeepAlive(dialled)
}

// BenchmarkCalls makes searches one after the other. CPU time and allocations
// include the server's.
func BenchmarkCalls(b *testing.B) {
	server := newRawServer(b, func(net.Conn, int32, *http.Request) (string, bool) { return searchReplyWith("documents", 9), false })
	pool := poolFor(b, server.address(), Options{MaxConnections: 4})
	for _, calls := range []int{1, 10, 40, 160} {
		b.Run(fmt.Sprintf("calls=%d", calls), func(b *testing.B) {
			b.ReportAllocs()
			defer capacity.MeasureCPU(b)()
			for b.Loop() {
				for range calls {
					if _, err := pool.Search(b.Context(), testCall); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}

// BenchmarkConnectionMemory reports the heap of open connections that carry no
// call, both ends together.
func BenchmarkConnectionMemory(b *testing.B) {
	server := newRawServer(b, func(net.Conn, int32, *http.Request) (string, bool) { return searchReplyWith("documents", 9), false })
	for _, connections := range []int{25, 100, 200, 400} {
		b.Run(fmt.Sprintf("connections=%d", connections), func(b *testing.B) {
			pool := poolFor(b, server.address(), Options{MaxConnections: connections})
			for range b.N {
				before, dialled := liveHeapBytes(), make([]*connection, connections)
				for i := range dialled {
					dialled[i], _ = pool.acquire(b.Context(), true)
				}
				b.ReportMetric(float64(liveHeapBytes()-before), "heapB")
				for _, c := range dialled {
					pool.discard(c)
				}
			}
		})
	}
}

// liveHeapBytes returns the heap in use after a garbage collection.
func liveHeapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
