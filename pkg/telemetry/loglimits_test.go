package telemetry

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedOutput blocks every Write until release is closed.
type blockedOutput struct{ release chan struct{} }

func (b blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against a blocked standard output that delays requests or lets the queue of
// records grow without limit.
func TestQueueWriterNeverBlocks(t *testing.T) {
	output := blockedOutput{release: make(chan struct{})}
	w := NewQueueWriter(output)
	for range 3 * maxQueuedRecords {
		_, err := w.Write([]byte("record\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, w.Dropped() >= maxQueuedRecords, "%d dropped", w.Dropped())
	close(output.release)
	w.Close()
	_, err := w.Write([]byte("after the end\n"))
	assert.NilError(t, err)
}

// Guards against a writer that keeps adding to one batch as long as records arrive: the
// batch would grow without limit and never be written. The output records the size of
// the largest batch.
func TestQueueWriterBoundsOneWrite(t *testing.T) {
	output := &countingOutput{}
	w := NewQueueWriter(output)
	for range maxQueuedRecords {
		_, _ = w.Write([]byte("record\n"))
	}
	w.Close()
	<-w.done // on a slow machine Close gives up while a write is in progress
	assert.Assert(t, output.largestBatch <= maxBatchRecords, "%d records in one write", output.largestBatch)
	assert.Equal(t, int64(output.records)+w.Dropped(), int64(maxQueuedRecords))
}

// countingOutput counts records and the largest batch. Only the goroutine of the
// QueueWriter writes to it, and the test reads its counts after that has ended. Each Write
// takes 1 ms, so that records queue up meanwhile.
type countingOutput struct{ records, largestBatch int }

func (o *countingOutput) Write(batch []byte) (int, error) {
	n := bytes.Count(batch, []byte("\n"))
	o.records += n
	o.largestBatch = max(o.largestBatch, n)
	time.Sleep(time.Millisecond)
	return len(batch), nil
}

// Guards against records that are neither written nor counted as dropped, and against writes
// that start after Close, when the output blocks for longer than Close waits.
func TestQueueWriterCountsWhatCloseLeaves(t *testing.T) {
	const records = 10 * maxBatchRecords
	output := &countingBlockedOutput{entered: make(chan struct{}, records), release: make(chan struct{})}
	w := NewQueueWriter(output)
	_, _ = w.Write([]byte("record\n"))
	<-output.entered
	for range records - 1 {
		_, _ = w.Write([]byte("record\n"))
	}
	w.Close()
	assert.Equal(t, w.Dropped(), int64(records-1))
	close(output.release)
	<-w.done
	assert.Equal(t, output.records, 1)
	assert.Equal(t, w.Dropped(), int64(records-1))
}

// countingBlockedOutput reports and counts each Write and blocks it until release is closed.
type countingBlockedOutput struct {
	entered, release chan struct{}
	records          int
}

func (o *countingBlockedOutput) Write(batch []byte) (int, error) {
	o.entered <- struct{}{}
	<-o.release
	o.records += bytes.Count(batch, []byte("\n"))
	return len(batch), nil
}

// Guards against a failed write that counts as fewer records than it held.
func TestQueueWriterCountsRecordsOfFailedWrites(t *testing.T) {
	const records = 3 * maxBatchRecords
	w := NewQueueWriter(failingOutput{})
	for range records {
		_, _ = w.Write([]byte("record\n"))
	}
	w.Close()
	<-w.done
	assert.Equal(t, w.Dropped(), int64(records))
}

type failingOutput struct{}

func (failingOutput) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// Guards against records that are lost or overwritten although the output keeps up. The
// caller of Write reuses its buffer, as slog handlers do.
func TestQueueWriterKeepsRecordsWhole(t *testing.T) {
	var output bytes.Buffer
	w := NewQueueWriter(&output)
	shared := []byte("first\n")
	_, _ = w.Write(shared)
	copy(shared, "other\n")
	_, _ = w.Write([]byte("second\n"))
	w.Close()
	assert.Equal(t, output.String(), "first\nsecond\n")
	assert.Equal(t, w.Dropped(), int64(0))
}

// Guards against many records with the same message that fill the log or displace
// records with other messages, and against suppressed records that are not reported.
func TestRateHandlerBoundsEachMessage(t *testing.T) {
	var output bytes.Buffer
	handler := NewRateHandler(slog.NewTextHandler(&output, nil))
	now := time.Unix(1000, 0)
	log := func(message string) {
		assert.NilError(t, handler.Handle(context.Background(), slog.NewRecord(now, slog.LevelInfo, message, 0)))
	}
	for range 10 * int(messageBurst) {
		log("flood")
	}
	log("rare")
	assert.Equal(t, strings.Count(output.String(), "msg=flood"), int(messageBurst))
	assert.Equal(t, strings.Count(output.String(), "msg=rare"), 1)
	now = now.Add(suppressionReportInterval)
	log("flood")
	assert.Assert(t, strings.Contains(output.String(), "suppressed_before=2700"), "not reported")
}
