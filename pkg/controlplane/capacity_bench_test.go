package controlplane

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/capacity"
)

// publishSized publishes a bundle of the given size.
func (n *simNetwork) publishSized(version int64, size int) {
	padding := " " + strings.Repeat("x", size)
	n.service.publish(KeyBundle, append(simBundle(version, strings.Repeat("a", 64)), padding...))
}

// BenchmarkReads counts reads of the service in virtual time by number of
// instances: while all start at once, for 5 s quiet, and for 3 s from a change
// of the bundle. Instances start one after the other here, so later ones find
// documents at the seeds; calls take no virtual time.
func BenchmarkReads(b *testing.B) {
	for _, size := range []int{7, 40, 160, 440, 1000} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			for range b.N {
				countReads(b, size)
			}
		})
	}
}

func countReads(b *testing.B, size int) {
	n := newSimNetwork(size, 8, 7)
	for i := range benchIndexes {
		n.service.publish(IndexKey("office", fmt.Sprint(i)), benchManifest(i, 30))
	}
	begin := n.now
	n.advance(3 * time.Second)
	b.ReportMetric(float64(n.service.reads), "restart-reads")
	b.ReportMetric(float64(n.service.peakReadsPerSecond(begin, n.now)), "restart-most-reads/s")
	from := n.counters()
	n.advance(5 * time.Second)
	quiet := n.counters()
	n.publishSized(3, benchBundleBytes)
	for len(n.instancesWithoutBundle(3)) > 0 && n.now.Sub(quiet.at) < 10*time.Second {
		n.advance(simTick)
	}
	b.ReportMetric(float64(n.now.Sub(quiet.at).Milliseconds()), "spread-ms")
	n.advance(quiet.at.Add(3 * time.Second).Sub(n.now))
	b.ReportMetric(float64(quiet.serviceReads-from.serviceReads)/5, "quiet-reads/s")
	b.ReportMetric(float64(n.service.peakReadsPerSecond(quiet.at, n.now)), "change-most-reads/s")
	b.ReportMetric(float64(quiet.peerBytes-from.peerBytes)/5/float64(size), "quiet-peerB/s/inst")
}

// BenchmarkBundleChange counts the bytes that one change of the bundle adds per
// instance by size of the bundle, at 40 instances.
func BenchmarkBundleChange(b *testing.B) {
	for _, size := range []int{10, 30, 100, 300, 900} {
		b.Run(fmt.Sprintf("kB=%d", size), func(b *testing.B) {
			for range b.N {
				n := benchNetwork(40)
				from := n.counters()
				n.publishSized(3, size*1000)
				n.advance(5 * time.Second)
				to := n.counters()
				b.ReportMetric(float64(to.peerBytes-from.peerBytes)/40, "change-peerB/inst")
				b.ReportMetric(float64(to.serviceBytes-from.serviceBytes), "change-serviceB")
			}
		})
	}
}

// BenchmarkExchangeKeys measures one exchange with a peer that holds the same
// by number of index manifests, and its bytes.
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

// BenchmarkMembersDocument accepts the list of members by number of entries, in
// the proportion of the target size.
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

// BenchmarkExchangePeers is one exchange by number of instances, without
// backend servers.
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
