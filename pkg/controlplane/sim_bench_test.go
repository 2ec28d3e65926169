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

// fleetSizes are numbers of instances: a deployment of today, a larger one, the
// target size, and a size above the target.
var fleetSizes = []int{7, 40, 440, 1000}

const (
	benchBundleBytes = 30 << 10
	benchIndexes     = 8
)

// benchNetwork returns a converged fleet with documents as large as in a real
// deployment: about four backend servers per instance, a bundle of
// benchBundleBytes, and benchIndexes index manifests.
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

// publishPadded publishes a bundle that is padded with benchBundleBytes.
func (n *simNetwork) publishPadded(version int64) {
	padding := " " + strings.Repeat("x", benchBundleBytes)
	digest := strings.Repeat("a", 64)
	n.service.publish(KeyBundle, append(simBundle(version, digest), padding...))
}

// trafficCounters holds the totals since the start of a run at one virtual time.
type trafficCounters struct {
	at                                 time.Time
	serviceReads, peerBytes, peerCalls int64
	serviceBytes                       int64
}

func (n *simNetwork) counters() trafficCounters {
	return trafficCounters{n.now, n.service.reads, n.peerBytes, n.peerCalls, n.service.bytesSent}
}

// reportTraffic reports the traffic between two readings of the counters: reads
// of the service per second, and the rest per second and instance.
func reportTraffic(b *testing.B, prefix string, n *simNetwork, from, to trafficCounters) {
	seconds := to.at.Sub(from.at).Seconds()
	size := float64(len(n.instances))
	b.ReportMetric(float64(to.serviceReads-from.serviceReads)/seconds, prefix+"reads/s")
	b.ReportMetric(float64(to.peerBytes-from.peerBytes)/seconds/size, prefix+"peerB/s/inst")
	b.ReportMetric(float64(to.serviceBytes-from.serviceBytes)/seconds/size, prefix+"serviceB/s/inst")
	b.ReportMetric(float64(to.peerCalls-from.peerCalls)/seconds/size, prefix+"calls/s/inst")
}

// BenchmarkTraffic counts reads of the service and message bytes in virtual time.
// It reports the traffic of 30 s without changes, of the 10 s after a change of
// the bundle, and of the 10 s after a change of the list of members. It also
// reports the highest number of reads within one second at a simultaneous start,
// during the changes, with the service down, and with all instances also cut off
// from each other.
//
// peerB/s/inst is the mean number of bytes that an instance sends to its peers,
// which equals the mean that it receives. It counts protobuf messages without
// HTTP framing. bundle-last-ms is the time from the change of the bundle until the
// last instance holds the new bundle. A reader's watch sees a change up to 1 s
// late here, because calls take no virtual time. The counts are the same in every
// run.
func BenchmarkTraffic(b *testing.B) {
	for _, size := range fleetSizes[:3] {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			for range b.N {
				n := benchNetwork(size)
				start := n.counters()
				n.advance(30 * time.Second)
				quiet := n.counters()
				n.publishPadded(3)
				for len(n.instancesWithoutBundle(3)) > 0 && n.now.Sub(quiet.at) < 10*time.Second {
					n.advance(simTick)
				}
				b.ReportMetric(float64(n.now.Sub(quiet.at).Milliseconds()), "bundle-last-ms")
				n.advance(quiet.at.Add(10 * time.Second).Sub(n.now))
				bundle := n.counters()
				n.service.publishMembers()
				n.advance(10 * time.Second)
				members := n.counters()
				reportTraffic(b, "quiet-", n, start, quiet)
				reportTraffic(b, "bundle-", n, quiet, bundle)
				reportTraffic(b, "members-", n, bundle, members)
				b.ReportMetric(float64(n.service.peakReadsPerSecond(n.service.startTime, start.at)), "start-most-reads/s")
				b.ReportMetric(float64(n.service.peakReadsPerSecond(quiet.at, members.at)), "change-most-reads/s")
				n.service.down = true
				n.advance(10 * time.Second)
				b.ReportMetric(float64(n.service.peakReadsPerSecond(members.at, n.now)), "down-most-reads/s")
				for i, s := range n.instances {
					n.partitionSides[s.ID] = i
				}
				isolated := n.now
				n.advance(10 * time.Second)
				b.ReportMetric(float64(n.service.peakReadsPerSecond(isolated, n.now)), "isolated-most-reads/s")
			}
		})
	}
}

// BenchmarkExchangeRound measures one exchange between two instances that hold the
// same documents. The result includes the work of both sides.
func BenchmarkExchangeRound(b *testing.B) {
	for _, size := range fleetSizes {
		n := benchNetwork(size)
		s := n.instances[0]
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				s.plane.exchangeStep(context.Background())
			}
		})
	}
}

// BenchmarkEnsureFresh measures the freshness check of a decision while the
// documents are fresh, so that the decision does not wait for a refresh.
func BenchmarkEnsureFresh(b *testing.B) {
	s := benchNetwork(7).instances[0]
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
		members := n.service.states[n.service.latestRevision()][KeyMembers].Data
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
