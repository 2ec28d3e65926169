package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/sycamorelift/sycamorelift/pkg/capacity"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/owner"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"go.opentelemetry.io/otel/trace/noop"
)

const (
	benchLimit        = 50
	benchHitsPerShard = 10
	maxBenchAttempts  = 256
)

type benchObserver struct{}

func (benchObserver) ObserveSender(*peerpb.Sender) {}

// benchSearcher answers a search without delay. As the owner does, it sends a
// first frame without results, and then either one frame with all results or,
// with framePerResult, one frame for each result.
type benchSearcher struct{ framePerResult atomic.Bool }

func (s *benchSearcher) Search(_ context.Context, r *peerpb.SearchRequest, emit owner.Emit) error {
	if err := emit(&peerpb.SearchFrame{RequestId: r.RequestId, Sender: r.Sender}); err != nil {
		return err
	}
	frame := &peerpb.SearchFrame{RequestId: r.RequestId}
	for i, a := range r.Attempts {
		addBenchResult(frame, a, r.Snapshot)
		frame.Last = i == len(r.Attempts)-1
		if !frame.Last && !s.framePerResult.Load() {
			continue
		}
		frame.Hits = frame.Hits[:min(len(frame.Hits), benchLimit)]
		if err := emit(frame); err != nil {
			return err
		}
		frame = &peerpb.SearchFrame{RequestId: r.RequestId}
	}
	return nil
}

func addBenchResult(frame *peerpb.SearchFrame, a *peerpb.ShardAttempt, snapshot int64) {
	frame.Results = append(frame.Results, &peerpb.ShardResult{
		Shard: a.Shard, Attempt: a.Attempt, BackendServerId: a.BackendServerId,
		Status: peerpb.ResultStatus_OK, Run: peerpb.RunState_RUN_STATE_RUN,
		From: a.From, To: a.To, Documents: a.Documents, Snapshot: snapshot, Snapshots: []int64{7, 8},
		QueueUs: 900, ServiceUs: 4000,
	})
	frame.Hits = append(frame.Hits, benchHits[a.Shard]...)
}

// benchHits holds the hits of each shard. They are built in advance so that the
// benchmarks do not measure building them.
var benchHits = func() (hits [maxBenchAttempts][]*peerpb.Hit) {
	for shard := range hits {
		for i := range benchHitsPerShard {
			key := fmt.Sprintf("%06d-%02d", shard, i)
			hits[shard] = append(hits[shard], &peerpb.Hit{
				Shard: int32(shard), Key: key, Score: 1 / float64(i+1), Document: key + " and a title of the document",
			})
		}
	}
	return hits
}()

func benchRequest(attempts int) *peerpb.SearchRequest {
	r := &peerpb.SearchRequest{
		Sender:    &peerpb.Sender{InstanceId: "instance-0001", Incarnation: "5a1c7f2e", BundleVersion: 7, BundleDigest: "0123456789abcdef"},
		RequestId: "0b1e5a2c-6b9f-4c42-9d3a-1f2e3d4c5b6a", Team: "office", Service: "renewal-search", Snapshot: 7,
		TimeoutMs: 200, Query: "class:A valid:2026", Limit: benchLimit, Fingerprint: 1 << 60, Slots: 2, Connections: 25,
	}
	for i := range attempts {
		r.Attempts = append(r.Attempts, &peerpb.ShardAttempt{
			Shard: int32(i), Attempt: int32(i + 1), BackendServerId: fmt.Sprintf("backend-%04d", i),
			From: fmt.Sprintf("%06d", i), To: fmt.Sprintf("%06d", i+1), Documents: 100_000,
		})
	}
	return r
}

// countingListener counts the bytes that its connections receive and send.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{c, &l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// benchServer serves searcher and the twirp service on a loopback address and
// returns the listener, which counts the bytes, and the instance to call.
func benchServer(b *testing.B, searcher Searcher) (*countingListener, membership.Instance) {
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	listener := &countingListener{Listener: tcpListener}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:   NewServer(&benchPeer{}, searcher, benchObserver{}, noop.NewTracerProvider().Tracer("")),
		Protocols: protocols,
	}
	b.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return listener, membership.Instance{ID: "i1", Address: tcpListener.Addr().String()}
}

// BenchmarkSearchMessages requests a number of shards from one owner over
// loopback: with one message per shard (alone), or with one message for all
// shards and a reply of one frame per result (streamed) or of one frame for all
// results (batched). It measures client and server together.
func BenchmarkSearchMessages(b *testing.B) {
	searcher := &benchSearcher{}
	listener, to := benchServer(b, searcher)
	client := NewClient(nil)
	defer client.Close()
	for _, attempts := range []int{1, 4, 16, 64, maxBenchAttempts} {
		for _, mode := range []string{"alone", "streamed", "batched"} {
			requests, request := 1, benchRequest(attempts)
			if mode == "alone" {
				requests, request = attempts, benchRequest(1)
			}
			b.Run(fmt.Sprintf("mode=%s/attempts=%d", mode, attempts), func(b *testing.B) {
				searcher.framePerResult.Store(mode == "streamed")
				b.ReportAllocs()
				defer capacity.MeasureCPU(b)()
				bytesBefore := listener.bytes.Load()
				for range b.N {
					runSearches(b, client, to, request, requests)
				}
				b.ReportMetric(float64(listener.bytes.Load()-bytesBefore)/float64(b.N), "wireB/op")
			})
		}
	}
}

// runSearches sends the request n times, one after the other.
func runSearches(b *testing.B, client *Client, to membership.Instance, request *peerpb.SearchRequest, n int) {
	for range n {
		if err := client.Search(b.Context(), to, request, func(*peerpb.SearchFrame) error { return nil }); err != nil {
			b.Fatal(err)
		}
	}
}
