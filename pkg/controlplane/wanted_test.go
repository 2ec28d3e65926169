package controlplane

import (
	"testing"
	"time"
)

// TestWantedSources guards against fetches that go only to the instances that
// announced a document first and may be unreachable by now. The source of the
// latest announcement is asked first, even if it announced a lower version.
func TestWantedSources(t *testing.T) {
	now := time.Unix(0, 0)
	w := newWantedDocuments()
	for _, source := range []string{"a", "b", "c"} {
		w.recordSource(Version{KeyBundle, 5, "x"}, source, now)
	}
	w.recordSource(Version{KeyBundle, 3, "x"}, "d", now)
	for _, wantSource := range []string{"d", "c"} {
		order, ok := w.startFetch(KeyBundle, now)
		if !ok || order.source != wantSource || order.version.Revision != 5 {
			t.Errorf("claimed %v, %v, want revision 5 from source %s", order, ok, wantSource)
		}
		if _, ok := w.startFetch(KeyBundle, now); ok {
			t.Error("second fetch claimed while the first is in flight and not yet due for a hedge")
		}
		now = now.Add(fetchHedgeAfter)
	}
}
