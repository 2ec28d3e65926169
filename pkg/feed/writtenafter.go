package feed

import "time"

// writtenAfter returns a time after which the store has accepted all that a reply has and this
// instance lacks, or zero if unknown.
func (l *followLoop) writtenAfter(now time.Time) time.Time {
	switch {
	case !l.hasView:
		return time.Time{}
	case l.storeFailures > 0 || l.staleSources.tellOfOutage(l.follower.confirmed.time()):
		// Entries that expire while the store is away belong to servers that mostly work.
		return now
	default:
		return l.follower.confirmed.time()
	}
}

// setWrittenAfter sets the times of the items of a reply that was requested at a time. After is the
// one of what this instance lacks.
func (l *followLoop) setWrittenAfter(batch Batch, requestedAt, after time.Time, source chosenSource) Batch {
	f := l.follower
	transit := min(f.clock.now().Sub(requestedAt), maxReplyDelay)
	items := make([]Item, 0, len(batch.Items))
	for _, item := range batch.Items {
		stated := item.WrittenAfter
		if !stated.IsZero() {
			stated = stated.Add(-transit)
		}
		item.WrittenAfter = after
		if known, ok := f.cache.item(item.Key); ok && known.Revision == item.Revision && batch.Position.Era == l.position.Era {
			item.WrittenAfter = known.WrittenAfter
		}
		if !source.isStore && stated.After(item.WrittenAfter) {
			item.WrittenAfter = stated
		}
		items = append(items, item)
	}
	batch.Items = items
	return batch
}
