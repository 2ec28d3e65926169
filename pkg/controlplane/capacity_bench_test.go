package controlplane

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/capacity"
)

// publishSized publishes a bundle that is padded with size bytes.
func (n *simNetwork) publishSized(version int64, size int) {
	padding := " " + strings.Repeat("x", size)
	n.service.publish(KeyBundle, append(simBundle(version, strings.Repeat("a", 64)), padding...))
}

// BenchmarkReads counts the reads from the configuration service in virtual time,
// by number of instances: while all instances start at the same virtual time, in
// 5 s without changes, and in the 3 s after a change of the bundle. The simulation
// starts the instances one after another and its calls take no virtual time, so
// later instances already find the documents at the seeds.
func BenchmarkReads(b *testing.B) {
	for _, size := range []int{7, 40, 160, 440, 1000} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			for range b.N {
				countReads(b, size)
			}
		})
	}
}

// countReads runs one simulation for BenchmarkReads and reports its counts.
func countReads(b *testing.B, size int) {
	n := newSimNetwork(size, 8, 7)
	for i := range benchIndexes {
		n.service.publish(IndexKey("office", fmt.Sprint(i)), benchManifest(i, 30))
	}
	startTime := n.now
	n.advance(3 * time.Second)
	b.ReportMetric(float64(n.service.reads), "restart-reads")
	b.ReportMetric(float64(n.service.peakReadsPerSecond(startTime, n.now)), "restart-most-reads/s")
	afterStart := n.counters()
	n.advance(5 * time.Second)
	beforeChange := n.counters()
	n.publishSized(3, benchBundleBytes)
	for len(n.instancesWithoutBundle(3)) > 0 && n.now.Sub(beforeChange.at) < 10*time.Second {
		n.advance(simTick)
	}
	b.ReportMetric(float64(n.now.Sub(beforeChange.at).Milliseconds()), "spread-ms")
	n.advance(beforeChange.at.Add(3 * time.Second).Sub(n.now))
	b.ReportMetric(float64(beforeChange.serviceReads-afterStart.serviceReads)/5, "quiet-reads/s")
	b.ReportMetric(float64(n.service.peakReadsPerSecond(beforeChange.at, n.now)), "change-most-reads/s")
	b.ReportMetric(float64(beforeChange.peerBytes-afterStart.peerBytes)/5/float64(size), "quiet-peerB/s/inst")
}

// BenchmarkBundleChange counts the bytes sent in the 5 s after a change of the
// bundle, by size of the bundle, with 40 instances: change-peerB/inst between
// peers per instance, change-serviceB from the configuration service to all
// instances together.
func BenchmarkBundleChange(b *testing.B) {
	for _, size := range []int{10, 30, 100, 300, 900} {
		b.Run(fmt.Sprintf("kB=%d", size), func(b *testing.B) {
			for range b.N {
				n := benchNetwork(40)
				before := n.counters()
				n.publishSized(3, size*1000)
				n.advance(5 * time.Second)
				after := n.counters()
				b.ReportMetric(float64(after.peerBytes-before.peerBytes)/40, "change-peerB/inst")
				b.ReportMetric(float64(after.serviceBytes-before.serviceBytes), "change-serviceB")
			}
		})
	}
}

// BenchmarkExchangeKeys measures the time and the bytes of one exchange between
// two instances that hold the same documents, by number of index manifests.
func BenchmarkExchangeKeys(b *testing.B) {
	for _, keys := range []int{8, 32, 128, 512} {
		n := newSimNetwork(7, 8, 7)
		for i := range keys {
			n.service.publish(IndexKey("office", fmt.Sprint(i)), benchManifest(i, 2))
		}
		n.advance(5 * time.Second)
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			b.ReportAllocs()
			defer capacity.MeasureCPU(b)()
			before := n.counters()
			for range b.N {
				n.instances[0].plane.exchangeStep(context.Background())
			}
			after := n.counters()
			b.ReportMetric(float64(after.peerBytes-before.peerBytes)/float64(b.N), "exchangeB/op")
		})
	}
}

// BenchmarkMembersDocument measures the decoding and acceptance of the list of
// members by number of entries. The ratio of backend servers to instances is
// that of the target size.
func BenchmarkMembersDocument(b *testing.B) {
	for _, instances := range []int{40, 220, 440, 1000} {
		n := newSimNetwork(instances, 8, 7)
		n.service.servers = benchServers(instances)
		n.service.publishMembers()
		data := n.service.states[n.service.latestRevision()][KeyMembers].Data
		b.Run(fmt.Sprintf("entries=%d", instances+len(n.service.servers)), func(b *testing.B) {
			benchAccept(b, KeyMembers, data)
			b.ReportMetric(float64(len(data)), "documentB")
		})
	}
}

// BenchmarkExchangePeers measures one exchange by number of instances. No backend
// servers are listed, so that only the instances add to its cost.
func BenchmarkExchangePeers(b *testing.B) {
	for _, size := range []int{7, 40, 160, 440} {
		n := newSimNetwork(size, 8, 7)
		n.advance(2 * time.Second)
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			defer capacity.MeasureCPU(b)()
			for range b.N {
				n.instances[0].plane.exchangeStep(context.Background())
			}
		})
	}
}
