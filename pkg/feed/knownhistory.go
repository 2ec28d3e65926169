package feed

import (
	"bytes"
	"math"
)

// knownHistory is what a watch cache knows of an era.
type knownHistory struct {
	latest map[string]Item // by key; removed ones have their last value
	writes []Item          // with exact revisions
}

// divergence returns the lowest revision that the items assign to another write than the known
// history does.
func (k knownHistory) divergence(items []Item) int64 {
	known := make(map[int64]Item, len(k.writes))
	for _, item := range k.writes {
		known[item.Revision] = item
	}
	lowest := int64(math.MaxInt64)
	for _, item := range items {
		old, ok := known[item.Revision]
		if ok && (old.Key != item.Key || old.Removed || !bytes.Equal(old.Value, item.Value)) {
			lowest = min(lowest, item.Revision)
		}
	}
	return lowest
}
