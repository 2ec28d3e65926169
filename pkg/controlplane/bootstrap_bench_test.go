package controlplane

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"go.opentelemetry.io/otel/trace/noop"

	"github.com/sycamorelift/sycamorelift/pkg/capacity"
	"github.com/sycamorelift/sycamorelift/pkg/configclient"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/peer"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// benchPeerServer serves the peer calls of other instances from one plane.
type benchPeerServer struct {
	peerpb.Peer
	plane *Plane
}

func (h benchPeerServer) Exchange(ctx context.Context, m *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return h.plane.Exchange(ctx, m)
}

func (h benchPeerServer) FetchDocument(ctx context.Context, m *peerpb.FetchDocumentRequest) (*peerpb.FetchDocumentReply, error) {
	return h.plane.FetchDocument(ctx, m)
}

// delayedPeers delays each call to a peer by a simulated round trip of rtt.
type delayedPeers struct {
	*peer.Client
	rtt time.Duration
}

func (p delayedPeers) Exchange(ctx context.Context, to membership.Instance, m *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	time.Sleep(p.rtt)
	return p.Client.Exchange(ctx, to, m)
}

func (p delayedPeers) FetchDocument(ctx context.Context, to membership.Instance, m *peerpb.FetchDocumentRequest) (*peerpb.FetchDocumentReply, error) {
	time.Sleep(p.rtt)
	return p.Client.FetchDocument(ctx, to, m)
}

// delayedService delays each call to the configuration service by a simulated
// round trip of rtt.
type delayedService struct {
	*simServiceClient
	rtt time.Duration
}

func (s delayedService) Get(ctx context.Context, key string) (configclient.Document, error) {
	time.Sleep(s.rtt)
	return s.simServiceClient.Get(ctx, key)
}

func (s delayedService) Watch(ctx context.Context, after int64, wait time.Duration) (configclient.WatchReply, error) {
	time.Sleep(s.rtt)
	return s.simServiceClient.Watch(ctx, after, wait)
}

// newLoopbackFleet returns a network whose list of members gives all instances
// the address of one loopback server. That server holds all control documents.
func newLoopbackFleet(b *testing.B, instances int) *simNetwork {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	n := newSimNetwork(instances, 8, 7)
	for _, s := range n.instances {
		s.Address = listener.Addr().String()
	}
	n.service.servers = benchServers(instances)
	n.service.publishMembers()
	for i := range benchIndexes {
		n.service.publish(IndexKey("office", fmt.Sprint(i)), benchManifest(i, 30))
	}
	n.publishPadded(2)
	n.instances[0].bootstrap()
	plane := n.instances[0].plane
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	handler := peer.NewServer(benchPeerServer{plane: plane}, nil, plane, noop.NewTracerProvider().Tracer(""))
	server := &http.Server{Handler: handler, Protocols: protocols}
	b.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return n
}

// BenchmarkBootstrap measures how long an instance that knows two seeds takes to
// fetch all control documents over loopback. The slope over the round-trip
// time is the number of sequential calls. The slope over the entries in the list
// of members is the cost of transferring and decoding one entry.
func BenchmarkBootstrap(b *testing.B) {
	targetFleet := newLoopbackFleet(b, 440)
	for _, rtt := range []int{0, 5, 10, 20} {
		b.Run(fmt.Sprintf("rtt-ms=%d", rtt), func(b *testing.B) {
			benchBootstrap(b, targetFleet, time.Duration(rtt)*time.Millisecond)
		})
	}
	for _, instances := range []int{40, 220, 440, 1000} {
		n := newLoopbackFleet(b, instances)
		b.Run(fmt.Sprintf("entries=%d", instances+len(n.service.servers)), func(b *testing.B) { benchBootstrap(b, n, 0) })
	}
}

// benchBootstrap bootstraps a new instance in each iteration. The calls to peers
// and to the configuration service take rtt longer.
func benchBootstrap(b *testing.B, n *simNetwork, rtt time.Duration) {
	defer capacity.MeasureCPU(b)()
	for i := range b.N {
		self := membership.Instance{ID: "new", Zone: "z0", Address: "127.0.0.1:0", State: membership.StateLive}
		store, view, client := NewStore(simVerify, time.Now, nil), membership.NewView(self.ID, self.Zone), peer.NewClient(nil)
		plane := New(Config{
			Self: self, Incarnation: fmt.Sprint(i), Store: store, View: view, Now: time.Now,
			Service: delayedService{&simServiceClient{n.service, n.instances[0]}, rtt},
			Peers:   delayedPeers{client, rtt},
			Seeds:   []membership.Instance{n.instances[0].Instance, n.instances[1].Instance},
			Rand:    rand.New(rand.NewPCG(1, 1)),
		})
		if err := plane.Bootstrap(b.Context()); err != nil || len(store.Versions()) != benchIndexes+2 {
			b.Fatal(err, store.Versions())
		}
		client.Close()
	}
}
