package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueRecords bounds the memory of records that wait for the output.
	queueRecords = 1024
	// batchRecords bounds one write: records that keep coming must neither put the
	// write off nor make the batch grow.
	batchRecords = 64
	// flushTimeout bounds the wait for a slow output when the process ends.
	flushTimeout = 500 * time.Millisecond
)

// QueueWriter writes records to an output that may be slow or blocked. Write
// never waits: a record that finds the queue full is dropped and counted.
type QueueWriter struct {
	output  io.Writer
	queue   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.RWMutex // excludes Write during Close
	closed bool
}

// NewQueueWriter starts the goroutine that writes to output.
func NewQueueWriter(output io.Writer) *QueueWriter {
	w := &QueueWriter{output: output, queue: make(chan []byte, queueRecords), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of one record. It reports success also for a dropped one,
// since nobody could act on the error.
func (w *QueueWriter) Write(record []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		w.dropped.Add(1)
		return len(record), nil
	}
	select {
	case w.queue <- append([]byte(nil), record...):
	default:
		w.dropped.Add(1)
	}
	return len(record), nil
}

// Dropped returns the number of records that were not written.
func (w *QueueWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes what is queued, as far as the output takes it in time.
func (w *QueueWriter) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.queue)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}

// run joins the records that wait into one write, which saves system calls.
func (w *QueueWriter) run() {
	defer close(w.done)
	var batch []byte
	for record := range w.queue {
		batch = append(batch[:0], record...)
		for joined, more := 1, true; more && joined < batchRecords; joined++ {
			select {
			case next, ok := <-w.queue:
				batch = append(batch, next...)
				more = ok
			default:
				more = false
			}
		}
		if _, err := w.output.Write(batch); err != nil {
			// There is no other place to report a failed log output.
			w.dropped.Add(1)
		}
	}
}
