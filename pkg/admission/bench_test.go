package admission

import (
	"runtime"
	"testing"
	"time"
)

// BenchmarkAcquireRelease is an uncontended pass through the queue.
func BenchmarkAcquireRelease(b *testing.B) {
	q := NewQueue(2, time.Now)
	for b.Loop() {
		g, _ := q.Acquire(b.Context(), Request{})
		g.Release(time.Millisecond, true)
	}
}

// BenchmarkFullQueue enters and dispatches while MaxWaiting requests wait. It
// also reports the heap of a waiting request without its goroutine.
func BenchmarkFullQueue(b *testing.B) {
	before, queues := heap(), make([]*Queue, 100)
	for i := range queues {
		queues[i] = NewQueue(1, time.Now)
		for n := range MaxWaiting + 1 {
			_, _, _ = queues[i].enter(Request{Priority: n % 4})
		}
	}
	memory := heap() - before
	for i := 0; b.Loop(); i++ {
		queues[0].release(time.Millisecond, true)
		_, _, _ = queues[0].enter(Request{Priority: i % 4})
	}
	b.ReportMetric(float64(memory)/float64(len(queues)*MaxWaiting), "B/waiting")
	runtime.KeepAlive(queues)
}

func heap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
