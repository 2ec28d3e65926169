package crashguard

import (
	"runtime"
	"testing"
)

// BenchmarkAttempt is the cost of the guard per attempt that succeeds.
func BenchmarkAttempt(b *testing.B) {
	g, s := New(), replica("a", "1")
	b.ReportAllocs()
	for i := uint64(0); b.Loop(); i++ {
		fingerprint := i % 10000
		if err := g.Admit(fingerprint, 2, epoch); err != nil {
			b.Fatal(err)
		}
		g.Begin(fingerprint, s, epoch)
		g.End(fingerprint, s.ID, OutcomeOK, epoch)
	}
}

// BenchmarkAdmitSuspect judges a suspect against a full history of losses.
func BenchmarkAdmitSuspect(b *testing.B) {
	g := New()
	for i := range 2 * maxLosses {
		g.Lost(replica(string(rune('A'+i)), "2"), epoch)
	}
	crashes(g, 5, replica("a", "1"), epoch)
	crashes(g, 5, replica("b", "3"), epoch)
	b.ReportAllocs()
	for b.Loop() {
		if g.Admit(5, 2, epoch) == nil {
			b.Fatal("not quarantined")
		}
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

// BenchmarkGoodMemory reports the heap of one remembered request, with both
// generations full.
func BenchmarkGoodMemory(b *testing.B) {
	const n = 2 * maxGoodPerGeneration
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		g := New()
		for i := range uint64(n) {
			g.MarkGood(i, epoch)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/request")
		runtime.KeepAlive(g)
	}
}
