package backend

import (
	"net"
	"net/http"
	"runtime"
	"testing"
)

// BenchmarkSearch is one search over a reused loopback connection, with the
// heap of an idle connection (both ends) as an extra figure.
func BenchmarkSearch(b *testing.B) {
	const connections = 200
	server := newRawServer(b, func(net.Conn, int32, *http.Request) (string, bool) { return echo("documents", 9), false })
	pool := poolFor(b, server.address(), Options{Connections: connections})
	for b.Loop() {
		if _, err := pool.Search(b.Context(), testCall); err != nil {
			b.Fatal(err)
		}
	}
	before, dialled := heap(), [connections]*connection{}
	for i := range dialled {
		dialled[i], _ = pool.acquire(b.Context(), true)
	}
	b.ReportMetric(float64(heap()-before)/connections, "B/connection")
	runtime.KeepAlive(dialled)
}

func heap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
