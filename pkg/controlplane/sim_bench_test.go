package controlplane

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/capacity"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
)

// fleetSizes are those of a deployment today, a larger one, the target, and one
// above the target.
var fleetSizes = []int{7, 40, 440, 1000}

const (
	benchBundleBytes = 30 << 10
	benchIndexes     = 8
)

// benchNetwork is a converged fleet with the documents of a real deployment:
// about four backend servers per instance, a bundle and index manifests.
func benchNetwork(instances int) *simNetwork {
	n := newSimNetwork(instances, 8, 7)
	n.service.servers = benchServers(instances)
	n.service.publishMembers()
	for i := range benchIndexes {
		n.service.publish(IndexKey("office", fmt.Sprint(i)), benchManifest(i, 30))
	}
	n.publishPadded(2)
	n.advance(10 * time.Second)
	return n
}

func benchServers(instances int) (servers []membership.BackendServer) {
	for i := range instances * 1900 / 440 {
		servers = append(servers, membership.BackendServer{
			ID: fmt.Sprintf("backend-%04d", i), Team: "office", Service: "renewal-search",
			Shard: i / 2, Replica: i % 2, Region: "r0", Zone: fmt.Sprintf("z%d", i%8),
			Rack: fmt.Sprintf("rack-%d", i%20), Address: "10.1.0.1:8080", State: membership.StateLive,
		})
	}
	return servers
}

func benchManifest(service, shards int) []byte {
	m := snapshot.Manifest{Team: "office", Service: fmt.Sprint(service)}
	for version := range int64(2) {
		s := snapshot.Snapshot{Version: version}
		for shard := range shards {
			s.Partitions = append(s.Partitions, snapshot.Partition{
				Shard: shard, From: fmt.Sprintf("%06d", shard), To: fmt.Sprintf("%06d", shard+1), Documents: 100_000,
			})
		}
		m.Snapshots = append(m.Snapshots, s)
	}
	data, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}

// publishPadded publishes a bundle of benchBundleBytes.
func (n *simNetwork) publishPadded(version int64) {
	padding := " " + strings.Repeat("x", benchBundleBytes)
	digest := strings.Repeat("a", 64)
	n.service.publish(KeyBundle, append(simBundle(version, digest), padding...))
}

// counters are the totals of a run at one time.
type counters struct {
	at                  time.Time
	reads, bytes, calls int64
	serviceBytes        int64
}

func (n *simNetwork) counters() counters {
	return counters{n.now, n.service.reads, n.bytes, n.calls, n.service.bytes}
}

// report states the difference of two counters per second or per instance.
func report(b *testing.B, prefix string, n *simNetwork, from, to counters) {
	seconds := to.at.Sub(from.at).Seconds()
	size := float64(len(n.alive))
	b.ReportMetric(float64(to.reads-from.reads)/seconds, prefix+"reads/s")
	b.ReportMetric(float64(to.bytes-from.bytes)/seconds/size, prefix+"peerB/s/inst")
	b.ReportMetric(float64(to.serviceBytes-from.serviceBytes)/seconds/size, prefix+"serviceB/s/inst")
	b.ReportMetric(float64(to.calls-from.calls)/seconds/size, prefix+"calls/s/inst")
}

// BenchmarkTraffic counts reads of the service and message bytes in virtual time:
// 30 s quiet, then 10 s from a change of the bundle, then 10 s from a change of
// the list of members, and the most reads within one second at a simultaneous
// start, with the service down, and with all instances cut off from each other
// as well. peerB/s/inst is what an instance sends to others in the
// mean; it receives as much. Protobuf without HTTP framing is counted.
// bundle-last-ms is when the last instance holds the bundle; a reader's watch
// sees a change up to 1 s late here, because calls take no virtual time. The
// counts are the same in every run.
func BenchmarkTraffic(b *testing.B) {
	for _, size := range fleetSizes[:3] {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			for range b.N {
				n := benchNetwork(size)
				start := n.counters()
				n.advance(30 * time.Second)
				quiet := n.counters()
				n.publishPadded(3)
				for len(n.lacking(3)) > 0 && n.now.Sub(quiet.at) < 10*time.Second {
					n.advance(simTick)
				}
				b.ReportMetric(float64(n.now.Sub(quiet.at).Milliseconds()), "bundle-last-ms")
				n.advance(quiet.at.Add(10 * time.Second).Sub(n.now))
				bundle := n.counters()
				n.service.publishMembers()
				n.advance(10 * time.Second)
				members := n.counters()
				report(b, "quiet-", n, start, quiet)
				report(b, "bundle-", n, quiet, bundle)
				report(b, "members-", n, bundle, members)
				b.ReportMetric(float64(n.service.mostReads(n.service.began, start.at)), "start-most-reads/s")
				b.ReportMetric(float64(n.service.mostReads(quiet.at, members.at)), "change-most-reads/s")
				n.service.down = true
				n.advance(10 * time.Second)
				b.ReportMetric(float64(n.service.mostReads(members.at, n.now)), "down-most-reads/s")
				for i, s := range n.alive {
					n.groups[s.ID] = i
				}
				isolated := n.now
				n.advance(10 * time.Second)
				b.ReportMetric(float64(n.service.mostReads(isolated, n.now)), "isolated-most-reads/s")
			}
		})
	}
}

// BenchmarkExchangeRound measures one exchange with a peer that holds the same,
// both sides together.
func BenchmarkExchangeRound(b *testing.B) {
	for _, size := range fleetSizes {
		n := benchNetwork(size)
		s := n.alive[0]
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				s.plane.exchangeStep(context.Background())
			}
		})
	}
}

// BenchmarkEnsureFresh measures the freshness gate of a decision when fresh.
func BenchmarkEnsureFresh(b *testing.B) {
	s := benchNetwork(7).alive[0]
	s.plane.exchangeStep(context.Background())
	b.ReportAllocs()
	for range b.N {
		s.plane.EnsureFresh(context.Background())
	}
}

// BenchmarkStoreApply measures the decoding and acceptance of a document.
func BenchmarkStoreApply(b *testing.B) {
	for _, size := range fleetSizes {
		n := benchNetwork(size)
		members := n.service.states[n.service.revision()][KeyMembers].Data
		b.Run(fmt.Sprintf("members/kB=%d", len(members)/1000), func(b *testing.B) {
			benchAccept(b, KeyMembers, members)
		})
	}
	for _, shards := range []int{1, 30, 300, 1300} {
		data := benchManifest(0, shards)
		b.Run(fmt.Sprintf("manifest/kB=%d", len(data)/1000), func(b *testing.B) {
			benchAccept(b, IndexKey("office", "0"), data)
		})
	}
}

func benchAccept(b *testing.B, key string, data []byte) {
	s := NewStore(simVerify, time.Now, nil)
	b.ReportAllocs()
	b.SetBytes(int64(len(data)))
	defer capacity.MeasureCPU(b)()
	for i := range b.N {
		if ok, err := s.Accept(Document{Key: key, Revision: int64(i), Data: data}); !ok {
			b.Fatal(err)
		}
	}
}
