package crashguard

import (
	"runtime"
	"testing"
)

// BenchmarkAttempt is the cost of the guard per attempt that succeeds. It also
// reports the heap of a remembered request, with both generations full.
func BenchmarkAttempt(b *testing.B) {
	before, g, s := heap(), New(), replica("a", "1")
	for i := range uint64(2 * maxGoodPerGeneration) {
		g.MarkGood(i, epoch)
	}
	memory := heap() - before
	for i := uint64(0); b.Loop(); i++ {
		_ = g.Admit(i%10000, 2, epoch)
		g.Begin(i%10000, s, epoch)
		g.End(i%10000, s.ID, OutcomeOK, epoch)
	}
	b.ReportMetric(float64(memory)/(2*maxGoodPerGeneration), "B/request")
}

// BenchmarkAdmitSuspect judges a suspect against a full history of losses.
func BenchmarkAdmitSuspect(b *testing.B) {
	g := New()
	for i := range 2 * maxLosses {
		g.Lost(replica(string(rune('A'+i)), "2"), epoch)
	}
	crashes(g, 5, replica("a", "1"), epoch)
	crashes(g, 5, replica("b", "3"), epoch)
	for b.Loop() {
		_ = g.Admit(5, 2, epoch)
	}
}

// BenchmarkCanaryShard chooses among the shards of the target size.
func BenchmarkCanaryShard(b *testing.B) {
	shards := make([]int, 1300)
	for i := range shards {
		shards[i] = i
	}
	for i := uint64(0); b.Loop(); i++ {
		canaryShard(i, shards)
	}
}

func heap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
