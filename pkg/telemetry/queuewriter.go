package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedRecords limits the memory of records that wait to be written.
	maxQueuedRecords = 1024
	// maxBatchRecords limits the records of one write. Without a limit, a steady
	// stream of records would delay the write and grow the batch indefinitely.
	maxBatchRecords = 64
	// flushTimeout is how long Close waits for a slow or blocked output.
	flushTimeout = 500 * time.Millisecond
)

// QueueWriter writes records to an output that may be slow or blocked. Write does not
// wait for the output: when the queue is full, the record is dropped and counted.
type QueueWriter struct {
	output  io.Writer
	queue   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.RWMutex // keeps Write from sending on the queue once Close has closed it
	closed bool
}

// NewQueueWriter returns a QueueWriter and starts the goroutine that writes the queued
// records to output. The goroutine ends after Close.
func NewQueueWriter(output io.Writer) *QueueWriter {
	w := &QueueWriter{output: output, queue: make(chan []byte, maxQueuedRecords), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of one record. It reports success for a dropped record too, since
// the caller could not act on the error.
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

// Dropped returns the number of dropped records. A batch that the output failed to
// write counts as one.
func (w *QueueWriter) Dropped() int64 { return w.dropped.Load() }

// Close stops accepting records and waits until the queued records are written, for
// flushTimeout at most.
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

// run writes the queued records. It combines waiting records into one write to save
// system calls.
func (w *QueueWriter) run() {
	defer close(w.done)
	var batch []byte
	for record := range w.queue {
		batch = append(batch[:0], record...)
		for batched, more := 1, true; more && batched < maxBatchRecords; batched++ {
			select {
			case next, ok := <-w.queue:
				batch = append(batch, next...)
				more = ok
			default:
				more = false
			}
		}
		if _, err := w.output.Write(batch); err != nil {
			// The log itself has failed, so the failure is only counted.
			w.dropped.Add(1)
		}
	}
}
