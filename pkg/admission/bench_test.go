package admission

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkAcquireRelease acquires and releases the only slot in use, without
// contention.
func BenchmarkAcquireRelease(b *testing.B) {
	q := NewQueue(2, time.Now)
	for b.Loop() {
		g, _ := q.Acquire(b.Context(), Request{})
		g.Release(time.Millisecond, true)
	}
}

// BenchmarkFullQueue enqueues and dispatches while MaxWaiting requests wait. It
// also reports the heap per waiting request, without its goroutine.
func BenchmarkFullQueue(b *testing.B) {
	before, queues := heapBytes(), make([]*Queue, 100)
	for i := range queues {
		queues[i] = NewQueue(1, time.Now)
		for n := range MaxWaiting + 1 {
			_, _, _ = queues[i].admitOrEnqueue(Request{Priority: n % 4})
		}
	}
	memory := heapBytes() - before
	for i := 0; b.Loop(); i++ {
		queues[0].release(time.Millisecond, true)
		_, _, _ = queues[0].admitOrEnqueue(Request{Priority: i % 4})
	}
	b.ReportMetric(float64(memory)/float64(len(queues)*MaxWaiting), "B/waiting")
	runtime.KeepAlive(queues)
}

// BenchmarkWaitingMemory reports the heap and stacks of requests that wait in
// Acquire, each in its own goroutine.
func BenchmarkWaitingMemory(b *testing.B) {
	for _, waiting := range []int{500, 1000, 2000, 4000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(float64(waitingMemory(b, waiting)), "memoryB")
			}
		})
	}
}

func waitingMemory(b *testing.B, waiting int) uint64 {
	const perQueue = 50
	ctx, cancel := context.WithCancel(b.Context())
	queues := make([]*Queue, waiting/perQueue)
	done := make(chan struct{})
	for i := range queues {
		queues[i] = NewQueue(1, time.Now)
		_, _ = queues[i].Acquire(ctx, Request{})
	}
	before := heapAndStackBytes()
	for i := range waiting {
		go func() {
			_, _ = queues[i%len(queues)].Acquire(ctx, Request{})
			done <- struct{}{}
		}()
	}
	for _, q := range queues {
		for q.Stats().Waiting < perQueue {
			time.Sleep(time.Millisecond)
		}
	}
	used := heapAndStackBytes() - before
	cancel()
	for range waiting {
		<-done
	}
	return used
}

func heapAndStackBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC() // the first collection frees the stacks of ended goroutines
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
