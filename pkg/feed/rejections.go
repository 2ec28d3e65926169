package feed

import (
	"log/slog"
	"sync"
	"sync/atomic"
)

// maxRejectionsKept bounds the keys whose rejection is remembered. Beyond it the log may repeat
// a line.
const maxRejectionsKept = 4096

// rejections counts the published items that cannot be decoded and logs each revision of a key
// once, also if several reads contain it. It is safe for concurrent use.
type rejections struct {
	logger *slog.Logger
	count  atomic.Int64

	mu     sync.Mutex
	logged map[string]int64 // key to its latest logged revision
}

func newRejections(logger *slog.Logger) *rejections {
	return &rejections{logger: logger, logged: make(map[string]int64)}
}

// record counts and logs an item, unless this revision of it is known.
func (r *rejections) record(item Item, err error) {
	if !r.isNew(item) {
		return
	}
	r.count.Add(1)
	r.logger.Warn("published item cannot be used", "key", item.Key, "revision", item.Revision, "error", err)
}

func (r *rejections) isNew(item Item) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision, known := r.logged[item.Key]; known && revision == item.Revision {
		return false
	}
	if len(r.logged) >= maxRejectionsKept {
		clear(r.logged)
	}
	r.logged[item.Key] = item.Revision
	return true
}
