package controlplane

import (
	"slices"
	"time"
)

const (
	// fetchHedgeAfter is the time after which a second source is asked while a
	// first one has not answered, so that a paused peer delays no change.
	fetchHedgeAfter = 250 * time.Millisecond
	// fetchRetryDelay is the pause after all known sources have failed.
	fetchRetryDelay = 100 * time.Millisecond
	// wantedHold bounds the time for which an announced document is looked for.
	// Its only holder may have crashed; exchanges announce it again otherwise.
	wantedHold = 10 * time.Second
	// maxFetchSources bounds the remembered sources of one document.
	maxFetchSources = 4
)

// fetchOrder says to fetch a document from an instance. An empty source stands
// for any instance, because no known source is left.
type fetchOrder struct {
	version Version
	source  string
}

// wanted holds the documents that others announced and that the store lacks,
// one per key: the highest. It decides what to fetch, from whom and when. It is
// not safe for concurrent use.
type wanted struct {
	wants map[string]*want
}

type want struct {
	version  Version
	sources  []string // not asked yet
	since    time.Time
	started  time.Time // of the last fetch
	busy     int       // fetches that have not ended
	earliest time.Time // of the next fetch
}

func newWanted() *wanted {
	return &wanted{wants: make(map[string]*want)}
}

// announce records that source holds the version.
func (w *wanted) announce(v Version, source string, now time.Time) {
	known, ok := w.wants[v.Key]
	if !ok || v.Compare(known.version) > 0 {
		known = &want{version: v, since: now}
		w.wants[v.Key] = known
	}
	if v != known.version || slices.Contains(known.sources, source) {
		return
	}
	if source != "" && len(known.sources) < maxFetchSources {
		known.sources = append(known.sources, source)
		known.earliest = time.Time{}
	}
}

// claim returns the order to fetch key when one is due, and counts it as begun.
func (w *wanted) claim(key string, now time.Time) (fetchOrder, bool) {
	known, ok := w.wants[key]
	if !ok || !known.due(now) {
		return fetchOrder{}, false
	}
	known.busy++
	known.started = now
	order := fetchOrder{version: known.version}
	if len(known.sources) > 0 {
		order.source = known.sources[0]
		known.sources = known.sources[1:]
	}
	return order, true
}

// done counts a claimed fetch as ended. The key is dropped when the store no
// longer wants the version.
func (w *wanted) done(order fetchOrder, satisfied bool, now time.Time) {
	known, ok := w.wants[order.version.Key]
	if !ok || known.version != order.version {
		return
	}
	known.busy--
	if satisfied {
		delete(w.wants, order.version.Key)
		return
	}
	if len(known.sources) == 0 {
		known.earliest = now.Add(fetchRetryDelay)
	}
}

// isBusy reports whether a fetch of key has not ended.
func (w *wanted) isBusy(key string) bool {
	known, ok := w.wants[key]
	return ok && known.busy > 0
}

// prune drops documents that are no longer wanted or were looked for too long.
func (w *wanted) prune(wants func(Version) bool, now time.Time) {
	for key, known := range w.wants {
		if !wants(known.version) || now.Sub(known.since) >= wantedHold {
			delete(w.wants, key)
		}
	}
}

// keys returns the keys of all wanted documents.
func (w *wanted) keys() []string {
	keys := make([]string, 0, len(w.wants))
	for key := range w.wants {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func (k *want) due(now time.Time) bool {
	if k.busy > 0 && now.Sub(k.started) < fetchHedgeAfter {
		return false
	}
	return !now.Before(k.earliest)
}
