package coverage

import (
	"fmt"
	"testing"

	"github.com/sycamorelift/sycamorelift/pkg/capacity"
	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
)

// BenchmarkAccount adds every shard of a snapshot and computes the reachable
// coverage after each, as a query does.
func BenchmarkAccount(b *testing.B) {
	for _, shards := range []int{40, 160, 640, 1300} {
		var s snapshot.Snapshot
		for i := range shards {
			s.Partitions = append(s.Partitions, snapshot.Partition{Shard: i, Documents: 1000})
		}
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			b.ReportAllocs()
			defer capacity.MeasureCPU(b)()
			for b.Loop() {
				a := NewAccount(s)
				for _, p := range s.Partitions {
					if err := a.AddReply(p); err != nil {
						b.Fatal(err)
					}
					a.Reachable()
				}
			}
		})
	}
}
