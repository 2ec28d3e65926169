package controlplane

import (
	"testing"
	"time"
)

// TestWantedSources guards against fetches that only go to instances which
// announced the document long ago, while one that announced it now, or a lower
// version that is wanted as well, can be reached.
func TestWantedSources(t *testing.T) {
	now := time.Unix(0, 0)
	w := newWantedDocuments()
	for _, source := range []string{"a", "b", "c"} {
		w.recordSource(Version{KeyBundle, 5, "x"}, source, now)
	}
	w.recordSource(Version{KeyBundle, 3, "x"}, "d", now)
	for _, want := range []string{"d", "c"} {
		order, ok := w.startFetch(KeyBundle, now)
		if !ok || order.source != want || order.version.Revision != 5 {
			t.Errorf("claimed %v, %v, want %s", order, ok, want)
		}
		if _, ok := w.startFetch(KeyBundle, now); ok {
			t.Error("two fetches at once")
		}
		now = now.Add(fetchHedgeAfter)
	}
}
