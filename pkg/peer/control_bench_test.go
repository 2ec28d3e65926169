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

// benchPeer answers an exchange as an instance that holds the same documents.
type benchPeer struct{ peerpb.Peer }

func (benchPeer) Exchange(_ context.Context, r *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return &peerpb.ExchangeReply{Sender: r.Sender}, nil
}

// BenchmarkExchangeMessages makes one exchange over loopback by number of
// documents, with the bytes of its HTTP/2 frames. Both ends are measured.
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
			before := listener.bytes.Load()
			for range b.N {
				if _, err := client.Exchange(b.Context(), to, request); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(listener.bytes.Load()-before)/float64(b.N), "wireB/op")
		})
	}
}

// BenchmarkPeerConnections opens connections between instances and reports the
// memory of both ends and, while they idle, the bytes and the processor time of
// their pings.
func BenchmarkPeerConnections(b *testing.B) {
	const idle = 4 * time.Second
	for _, connections := range []int{20, 40, 80, 160} {
		b.Run(fmt.Sprintf("connections=%d", connections), func(b *testing.B) {
			for range b.N {
				listener, to := benchServer(b, &benchSearcher{})
				before := heapAndStacks()
				clients := make([]*Client, connections)
				for i := range clients {
					clients[i] = NewClient(nil)
					benchSearches(b, clients[i], to, benchRequest(1), 1)
				}
				b.ReportMetric(float64(heapAndStacks()-before), "memoryB")
				sent, used := listener.bytes.Load(), capacity.CPUTime()
				time.Sleep(idle)
				b.ReportMetric(float64(capacity.CPUTime()-used)/idle.Seconds(), "pingCPU-ns/s")
				b.ReportMetric(float64(listener.bytes.Load()-sent)/idle.Seconds(), "pingB/s")
				for _, c := range clients {
					c.Close()
				}
			}
		})
	}
}

func heapAndStacks() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC() // the first one frees stacks of ended goroutines
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
