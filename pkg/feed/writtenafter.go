package feed

import "time"

// expiryTime is the time without a heartbeat of a server after which its entry expires: three
// intervals of 1.2 s. No entry expires because of an outage that is shorter.
const expiryTime = 3500 * time.Millisecond

// changeTimes are times after which the store has accepted the changes that a reply has and this
// instance lacks; zero is unknown.
type changeTimes struct {
	written time.Time // of items that the reply has
	removed time.Time // of those that were removed
}

func (l *followLoop) changeTimes(now time.Time) changeTimes {
	if !l.hasView {
		return changeTimes{}
	}
	confirmed := l.follower.confirmed.time()
	times := changeTimes{written: confirmed, removed: confirmed}
	isOutage := l.storeFailures > 0 || l.staleSources.tellOfOutage(confirmed)
	if isOutage && now.Sub(confirmed) >= expiryTime {
		// Entries that expire while the store is away belong to servers that mostly work.
		times.removed = now
	}
	return times
}

// setWrittenAfter sets the times of the items of a reply that was requested at a time.
func (l *followLoop) setWrittenAfter(batch Batch, requestedAt time.Time, times changeTimes, source chosenSource) Batch {
	f := l.follower
	transit := min(f.clock.now().Sub(requestedAt), maxReplyDelay)
	items := make([]Item, 0, len(batch.Items))
	for _, item := range batch.Items {
		stated := item.WrittenAfter
		if !stated.IsZero() {
			stated = stated.Add(-transit)
		}
		item.WrittenAfter = times.written
		if item.Removed {
			item.WrittenAfter = times.removed
		}
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
