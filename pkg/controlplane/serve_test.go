package controlplane

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/configclient"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// lockedService makes the simulated configuration service safe for concurrent use.
type lockedService struct {
	mu *sync.Mutex
	*simServiceClient
}

func (l lockedService) Get(ctx context.Context, key string) (configclient.Document, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.simServiceClient.Get(ctx, key)
}

func (l lockedService) Watch(ctx context.Context, after int64, wait time.Duration) (configclient.WatchReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.simServiceClient.Watch(ctx, after, wait)
}

// directPeers passes each call to the plane of the addressed instance, by its id,
// in the same process.
type directPeers map[string]*Plane

func (d directPeers) Exchange(ctx context.Context, to membership.Instance, m *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return d[to.ID].Exchange(ctx, m)
}

func (d directPeers) FetchDocument(ctx context.Context, to membership.Instance, m *peerpb.FetchDocumentRequest) (*peerpb.FetchDocumentReply, error) {
	return d[to.ID].FetchDocument(ctx, m)
}

// TestServe guards against data races and deadlocks between the tasks of a plane,
// the requests of its peers and its decisions. The simulations of the other tests
// use no goroutines and cannot find these.
func TestServe(t *testing.T) {
	net := newSimNetwork(4, 2, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var mu sync.Mutex
	peers := make(directPeers)
	for _, s := range net.instances {
		view := membership.NewView(s.ID, s.Zone)
		peers[s.ID] = New(Config{
			Self: s.Instance, Incarnation: "1", View: view, Peers: peers,
			Store:   NewStore(simVerify, time.Now, nil),
			Service: lockedService{&mu, &simServiceClient{net.service, s}},
			Now:     time.Now, Rand: rand.New(rand.NewPCG(1, 1)),
			ExchangeInterval: 20 * time.Millisecond,
		})
	}
	var running sync.WaitGroup
	serveCtx, stopServing := context.WithCancel(ctx)
	for _, p := range peers {
		running.Go(func() {
			if err := p.Bootstrap(ctx); err != nil {
				t.Error(err)
			}
			_ = p.Serve(serveCtx)
		})
	}
	for version := int64(2); version < 6; version++ {
		mu.Lock()
		net.service.publishBundle(version, "b")
		mu.Unlock()
		for id, p := range peers {
			p.AddNotice(&peerpb.Notice{Kind: peerpb.Notice_INSTANCE_DRAINING, Subject: fmt.Sprint(version), Incarnation: id})
			p.EnsureFresh(ctx)
			if err := p.AwaitBundle(ctx, version, "b"); err != nil {
				t.Errorf("instance %s has not accepted bundle %d: %v", id, version, err)
			}
		}
	}
	stopServing()
	running.Wait()
}
