package controlplane

import (
	"slices"
	"time"
)

const (
	// fetchHedgeAfter is the time without a reply after which a fetch is hedged with
	// a second source, so that a paused peer does not delay a change.
	fetchHedgeAfter = 150 * time.Millisecond
	// fetchRetryDelay is the pause after all known sources have failed.
	fetchRetryDelay = 100 * time.Millisecond
	// wantedHold is the time after which the search for an announced document ends,
	// since its only holder may have crashed. If another instance holds the
	// document, a later exchange announces it again.
	wantedHold = 10 * time.Second
	// maxFetchSources bounds the remembered sources of one document.
	maxFetchSources = 4
)

// fetchOrder names a document to fetch and the instance to fetch it from. An empty
// source means any instance, because no known source is left.
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
	busy     int       // fetches in flight
	earliest time.Time // of the next fetch
}

func newWanted() *wanted {
	return &wanted{wants: make(map[string]*want)}
}

// announce records that source holds the version, which the store lacks.
func (w *wanted) announce(v Version, source string, now time.Time) {
	known, ok := w.wants[v.Key]
	if !ok || v.Compare(known.version) > 0 {
		known = &want{version: v, since: now}
		w.wants[v.Key] = known
	}
	if source == "" || len(known.sources) > 0 && known.sources[0] == source {
		return
	}
	// The latest announcement comes first: its sender is reachable now, while
	// earlier ones may have been read late by a process that was paused. This
	// holds for a lower version too: it may be the highest that can be reached.
	known.sources = slices.DeleteFunc(known.sources, func(s string) bool { return s == source })
	known.sources = slices.Insert(known.sources, 0, source)
	known.sources = known.sources[:min(len(known.sources), maxFetchSources)]
	known.earliest = time.Time{}
}

// claim returns the next fetch of key if one is due, and counts it as in flight.
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

// done records the end of a claimed fetch. satisfied reports that the store no
// longer wants the version; its key is then dropped.
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

// isBusy reports whether a fetch of key is in flight.
func (w *wanted) isBusy(key string) bool {
	known, ok := w.wants[key]
	return ok && known.busy > 0
}

// prune drops documents that the store no longer wants or that have been wanted
// for wantedHold.
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
