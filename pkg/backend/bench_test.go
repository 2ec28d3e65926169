package backend

import (
	"net"
	"net/http"
	"runtime"
	"testing"
)

// BenchmarkSearch is one search over a reused loopback connection.
func BenchmarkSearch(b *testing.B) {
	server := newRawServer(b, func(conn net.Conn, _ int32, _ *http.Request) bool {
		_, err := conn.Write([]byte(rawReply(echo(nil))))
		return err == nil
	})
	pool := poolFor(b, server.address(), Options{})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := pool.Search(b.Context(), testCall); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkConnectionMemory reports the client's heap of one idle connection.
// The server side only accepts.
func BenchmarkConnectionMemory(b *testing.B) {
	const connections = 200
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	pool := poolFor(b, listener.Addr().String(), Options{Connections: connections})
	var before, after runtime.MemStats
	for b.Loop() {
		accepted := make([]net.Conn, connections)
		dialled := make([]*connection, connections)
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range dialled {
			if dialled[i], err = pool.acquire(b.Context(), true); err != nil {
				b.Fatal(err)
			}
			if accepted[i], err = listener.Accept(); err != nil {
				b.Fatal(err)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/connections, "B/connection")
		for i, conn := range dialled {
			pool.discard(conn)
			_ = accepted[i].Close()
		}
	}
}
