package telemetry

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedOutput never takes a byte until it is released.
type blockedOutput struct{ release chan struct{} }

func (b blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against a blocked standard output that delays requests or grows memory.
func TestQueueWriterNeverBlocks(t *testing.T) {
	output := blockedOutput{release: make(chan struct{})}
	w := NewQueueWriter(output)
	for range 3 * queueRecords {
		_, err := w.Write([]byte("record\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, w.Dropped() >= queueRecords, "%d dropped", w.Dropped())
	close(output.release)
	w.Close()
	_, err := w.Write([]byte("after the end\n"))
	assert.NilError(t, err)
}

// Guards against a writer that only collects while records keep coming: its memory
// would grow, and nothing would be written. The output counts what one write holds.
func TestQueueWriterBoundsOneWrite(t *testing.T) {
	output := &countingOutput{}
	w := NewQueueWriter(output)
	for range queueRecords {
		_, _ = w.Write([]byte("record\n"))
	}
	w.Close()
	assert.Assert(t, output.most <= batchRecords, "%d records in one write", output.most)
	assert.Equal(t, int64(output.records)+w.Dropped(), int64(queueRecords))
}

// countingOutput is written to by the writer's goroutine alone, and read after
// Close. Each write takes a while, so that records gather.
type countingOutput struct{ records, most int }

func (o *countingOutput) Write(batch []byte) (int, error) {
	n := bytes.Count(batch, []byte("\n"))
	o.records += n
	o.most = max(o.most, n)
	time.Sleep(time.Millisecond)
	return len(batch), nil
}

// Guards against records that are lost or mixed although the output keeps up.
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

// Guards against a flood of one kind that fills the log or pushes out another kind,
// and against silence about what was left out.
func TestRateHandlerBoundsEachMessage(t *testing.T) {
	var output bytes.Buffer
	handler := NewRateHandler(slog.NewTextHandler(&output, nil))
	now := time.Unix(1000, 0)
	log := func(message string) {
		assert.NilError(t, handler.Handle(context.Background(), slog.NewRecord(now, slog.LevelInfo, message, 0)))
	}
	for range 10 * int(kindBurst) {
		log("flood")
	}
	log("rare")
	assert.Equal(t, strings.Count(output.String(), "msg=flood"), int(kindBurst))
	assert.Equal(t, strings.Count(output.String(), "msg=rare"), 1)
	now = now.Add(dropReport)
	log("flood")
	assert.Assert(t, strings.Contains(output.String(), "suppressed_before=2700"), "not reported")
}
