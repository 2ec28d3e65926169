package crashguard

import (
	"runtime"
	"testing"
)

// BenchmarkAttempt measures the cost of the guard per successful attempt. It also
// reports the heap per remembered request when both generations of successes are
// full.
func BenchmarkAttempt(b *testing.B) {
	before, g, s := heapBytes(), New(), testServer("a", "1")
	for i := range uint64(2 * maxSuccessesPerGeneration) {
		g.RecordSuccess(i, testStart)
	}
	memory := heapBytes() - before
	for i := uint64(0); b.Loop(); i++ {
		_ = g.Admit(i%10000, 2, testStart)
		g.Begin(i%10000, s, testStart)
		g.End(i%10000, s.ID, OutcomeOK, testStart)
	}
	b.ReportMetric(float64(memory)/(2*maxSuccessesPerGeneration), "B/request")
}

// BenchmarkAdmitSuspect measures the check of a suspect when the history of losses
// is full.
func BenchmarkAdmitSuspect(b *testing.B) {
	g := New()
	for i := range 2 * maxLosses {
		g.RecordLoss(testServer(string(rune('A'+i)), "2"), testStart)
	}
	crashOnServer(g, 5, testServer("a", "1"), testStart)
	crashOnServer(g, 5, testServer("b", "3"), testStart)
	for b.Loop() {
		_ = g.Admit(5, 2, testStart)
	}
}

// BenchmarkCanaryShard measures the choice among as many shards as the target size
// has.
func BenchmarkCanaryShard(b *testing.B) {
	shards := make([]int, 1300)
	for i := range shards {
		shards[i] = i
	}
	for i := uint64(0); b.Loop(); i++ {
		canaryShard(i, shards)
	}
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
