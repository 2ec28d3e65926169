package admission

import (
	"runtime"
	"testing"
	"time"
)

// BenchmarkAcquireRelease is an uncontended pass through the queue.
func BenchmarkAcquireRelease(b *testing.B) {
	q := NewQueue(2, time.Now)
	b.ReportAllocs()
	for b.Loop() {
		g, err := q.Acquire(b.Context(), Request{})
		if err != nil {
			b.Fatal(err)
		}
		g.Release(time.Millisecond, true)
	}
}

// BenchmarkFullQueue enters and dispatches while MaxWaiting requests wait.
func BenchmarkFullQueue(b *testing.B) {
	q := NewQueue(1, time.Now)
	for i := range MaxWaiting + 1 {
		_, _, _ = q.enter(Request{Priority: i % 4})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		q.release(time.Millisecond, true)
		_, _, _ = q.enter(Request{Priority: i % 4})
	}
}

// BenchmarkWaitingMemory reports the heap of one waiting request without its
// goroutine.
func BenchmarkWaitingMemory(b *testing.B) {
	const queues = 400
	kept := make([]*Queue, queues)
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range kept {
			kept[i] = NewQueue(1, time.Now)
			for range MaxWaiting + 1 {
				_, _, _ = kept[i].enter(Request{})
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(queues*MaxWaiting), "B/waiting")
		clear(kept)
	}
}
