package gateway

import (
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"
)

const (
	// answerChunk is the part of an answer after which the progress of its reader is seen.
	answerChunk = 32 << 10
	// readTimeout is how long a caller may read nothing of its answer. It is longer than the
	// timeouts of callers in use.
	readTimeout = 30 * time.Second
)

// AnswerWriter writes answers to callers and bounds the bytes held for those that read slowly.
// It is safe for concurrent use.
type AnswerWriter struct {
	limit  func() int64
	logger *slog.Logger
	now    func() time.Time

	mu      sync.Mutex
	held    int64 // bytes of the answers that are being written
	writing map[*writing]struct{}
}

// writing is an answer that is being written. AnswerWriter.mu guards the fields that change.
type writing struct {
	id         string
	controller *http.ResponseController
	began      time.Time
	size       int64
	written    int64
	cut        bool
}

// NewAnswerWriter returns a writer. Limit returns the most bytes held for answers.
func NewAnswerWriter(limit func() int64, logger *slog.Logger) *AnswerWriter {
	return &AnswerWriter{limit: limit, logger: logger, now: time.Now, writing: make(map[*writing]struct{})}
}

// Write writes the body of an answer to the caller. Beyond the bound the slowest reader is cut
// off.
func (a *AnswerWriter) Write(w http.ResponseWriter, id string, body []byte) error {
	entry := &writing{id: id, controller: http.NewResponseController(w), began: a.now(), size: int64(len(body))}
	a.begin(entry)
	defer a.end(entry)
	for rest := body; len(rest) > 0; {
		a.extend(entry)
		n, err := w.Write(rest[:min(answerChunk, len(rest))])
		a.mu.Lock()
		entry.written += int64(n)
		a.mu.Unlock()
		if err != nil {
			return err
		}
		rest = rest[n:]
	}
	a.extend(entry)
	return flush(entry.controller)
}

// flush writes what net/http holds back while the deadline is set.
func flush(controller *http.ResponseController) error {
	if err := controller.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}

func (a *AnswerWriter) begin(entry *writing) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writing[entry] = struct{}{}
	a.held += entry.size
	for a.held > a.limit() {
		slowest := a.slowestLocked(entry.began)
		if slowest == nil {
			return // only answers that have just begun
		}
		a.cutLocked(slowest, entry.began)
	}
}

// minWriting is the time after which a reader can be told to be slow: a reader on a usual link
// has taken an answer of the largest size by then.
const minWriting = time.Second

// slowestLocked returns the reader with the lowest rate of those that have had their time.
func (a *AnswerWriter) slowestLocked(now time.Time) *writing {
	var slowest *writing
	lowest := 0.0
	for entry := range a.writing {
		took := now.Sub(entry.began)
		if entry.cut || took < minWriting {
			continue
		}
		if rate := float64(entry.written) / took.Seconds(); slowest == nil || rate < lowest {
			slowest, lowest = entry, rate
		}
	}
	return slowest
}

// cutLocked ends the writes of an answer.
func (a *AnswerWriter) cutLocked(entry *writing, now time.Time) {
	entry.cut = true
	a.held -= entry.size
	_ = entry.controller.SetWriteDeadline(time.Unix(1, 0)) // in the past
	a.logger.Warn("slow reader cut off", "request_id", entry.id, "bytes", entry.size, "written", entry.written, "took_ms", now.Sub(entry.began).Milliseconds())
}

// extend gives the reader its time for the next part, unless it is cut off.
func (a *AnswerWriter) extend(entry *writing) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !entry.cut {
		_ = entry.controller.SetWriteDeadline(time.Now().Add(readTimeout))
	}
}

func (a *AnswerWriter) end(entry *writing) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.writing, entry)
	if !entry.cut {
		a.held -= entry.size
		_ = entry.controller.SetWriteDeadline(time.Time{})
	}
}

// Held returns the bytes of the answers that are being written.
func (a *AnswerWriter) Held() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}
