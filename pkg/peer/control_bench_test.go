package peer

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/capacity"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// benchPeer answers an exchange like an instance that holds the same versions of
// all documents, so its reply contains none.
type benchPeer struct{ peerpb.Peer }

func (benchPeer) Exchange(_ context.Context, r *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return &peerpb.ExchangeReply{Sender: r.Sender}, nil
}

// BenchmarkExchangeMessages measures one exchange over loopback for different
// numbers of documents and reports the bytes of its HTTP/2 frames. It measures
// client and server together.
func BenchmarkExchangeMessages(b *testing.B) {
	listener, to := benchServer(b, &benchSearcher{})
	client := NewClient(nil)
	defer client.Close()
	for _, keys := range []int{2, 10, 40, 160} {
		request := &peerpb.ExchangeRequest{Sender: benchRequest(0).Sender}
		for i := range keys {
			request.Versions = append(request.Versions, &peerpb.DocumentVersion{
				Key: fmt.Sprintf("index/office/service-%03d", i), Revision: 1000, Digest: "0123456789abcdef",
			})
		}
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			b.ReportAllocs()
			defer capacity.MeasureCPU(b)()
			bytesBefore := listener.bytes.Load()
			for range b.N {
				if _, err := client.Exchange(b.Context(), to, request); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(listener.bytes.Load()-bytesBefore)/float64(b.N), "wireB/op")
		})
	}
}

// BenchmarkPeerConnections opens connections between instances and reports the
// memory that both ends use and, while the connections are idle, the bytes and
// the CPU time of their pings.
func BenchmarkPeerConnections(b *testing.B) {
	const idleTime = 4 * time.Second
	for _, connections := range []int{20, 40, 80, 160} {
		b.Run(fmt.Sprintf("connections=%d", connections), func(b *testing.B) {
			for range b.N {
				listener, to := benchServer(b, &benchSearcher{})
				memoryBefore := heapAndStacks()
				clients := make([]*Client, connections)
				for i := range clients {
					clients[i] = NewClient(nil)
					runSearches(b, clients[i], to, benchRequest(1), 1)
				}
				b.ReportMetric(float64(heapAndStacks()-memoryBefore), "memoryB")
				bytesBefore, cpuBefore := listener.bytes.Load(), capacity.CPUTime()
				time.Sleep(idleTime)
				b.ReportMetric(float64(capacity.CPUTime()-cpuBefore)/idleTime.Seconds(), "pingCPU-ns/s")
				b.ReportMetric(float64(listener.bytes.Load()-bytesBefore)/idleTime.Seconds(), "pingB/s")
				for _, c := range clients {
					c.Close()
				}
			}
		})
	}
}

// heapAndStacks returns the bytes of live heap objects and of goroutine stacks.
func heapAndStacks() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC() // the first collection releases the stacks of ended goroutines
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
