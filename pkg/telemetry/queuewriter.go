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
	done    chan struct{} // closed when the goroutine that writes has ended

	abandoned atomic.Bool // Close has given up; no further write may start

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

// Dropped returns the number of records that were not written, including those of failed
// writes.
func (w *QueueWriter) Dropped() int64 { return w.dropped.Load() }

// Close stops accepting records and waits until the queued records are written, for
// flushTimeout at most. It then drops and counts those that are left. Only the write that
// blocks the output may go on after Close; its records are counted if it fails.
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
		w.abandoned.Store(true)
		for range w.queue {
			w.dropped.Add(1)
		}
	}
}

// run writes the queued records. It combines waiting records into one write to save
// system calls.
func (w *QueueWriter) run() {
	defer close(w.done)
	var batch []byte
	for record := range w.queue {
		batch = append(batch[:0], record...)
		records := 1
		for more := true; more && records < maxBatchRecords; {
			var next []byte
			select {
			case next, more = <-w.queue:
			default:
				more = false
			}
			if more {
				batch = append(batch, next...)
				records++
			}
		}
		if w.abandoned.Load() || !w.write(batch) {
			w.dropped.Add(int64(records))
		}
	}
}

// write reports whether the output has taken the batch. The log itself has failed if it has
// not, so there is nowhere to report the error.
func (w *QueueWriter) write(batch []byte) bool {
	_, err := w.output.Write(batch)
	return err == nil
}
