package controlplane

import (
	"slices"
	"time"
)

const (
	// fetchHedgeAfter is the time without a reply after which a fetch is hedged with
	// a second source, so that a paused peer does not delay a change.
	fetchHedgeAfter = 150 * time.Millisecond
	// fetchRetryDelay is the pause before the next fetch of a document when all known
	// sources of it have failed.
	fetchRetryDelay = 100 * time.Millisecond
	// wantedTimeout is the time after which fetching an announced document is given
	// up, since its only holder may have crashed. If another instance holds the
	// document, a later exchange announces it again.
	wantedTimeout = 10 * time.Second
	// maxFetchSources bounds the number of sources kept for one document.
	maxFetchSources = 4
)

// fetchTarget is a document version to fetch and the instance to fetch it from. The
// source is empty when no known source is left; any instance may then be asked.
type fetchTarget struct {
	version Version
	source  string
}

// wantedDocuments holds, for each key, the highest version that other instances
// announced and that the store lacks. It decides which document is fetched from
// which instance and when. It is not safe for concurrent use.
type wantedDocuments struct {
	byKey map[string]*wantedDocument
}

// wantedDocument is one version to fetch and the state of its fetches.
type wantedDocument struct {
	version        Version
	untriedSources []string // instances not asked since their last announcement, latest first
	wantedSince    time.Time
	lastFetchStart time.Time
	inFlight       int       // fetches in flight
	nextFetch      time.Time // earliest start of the next fetch
}

func newWantedDocuments() *wantedDocuments {
	return &wantedDocuments{byKey: make(map[string]*wantedDocument)}
}

// recordSource records that source announced a version that the store lacks. An
// empty source is not kept.
func (w *wantedDocuments) recordSource(v Version, source string, now time.Time) {
	document, ok := w.byKey[v.Key]
	if !ok || v.Compare(document.version) > 0 {
		document = &wantedDocument{version: v, wantedSince: now}
		w.byKey[v.Key] = document
	}
	if source == "" || len(document.untriedSources) > 0 && document.untriedSources[0] == source {
		return
	}
	// The sender of the latest announcement comes first: it is likely to be reachable
	// now, while this process may have read earlier announcements late, after a pause.
	// The same holds for the sender of a lower version, since that version may be the
	// highest that any reachable instance holds.
	document.untriedSources = slices.DeleteFunc(document.untriedSources, func(s string) bool { return s == source })
	document.untriedSources = slices.Insert(document.untriedSources, 0, source)
	document.untriedSources = document.untriedSources[:min(len(document.untriedSources), maxFetchSources)]
	document.nextFetch = time.Time{}
}

// startFetch returns the target of the next fetch of key if a fetch is due, and
// counts the fetch as in flight. The caller must pass the target to finishFetch.
func (w *wantedDocuments) startFetch(key string, now time.Time) (fetchTarget, bool) {
	document, ok := w.byKey[key]
	if !ok || !document.isFetchDue(now) {
		return fetchTarget{}, false
	}
	document.inFlight++
	document.lastFetchStart = now
	target := fetchTarget{version: document.version}
	if len(document.untriedSources) > 0 {
		target.source = document.untriedSources[0]
		document.untriedSources = document.untriedSources[1:]
	}
	return target, true
}

// finishFetch records the end of a fetch that startFetch returned. The document is
// removed if the store no longer wants the version.
func (w *wantedDocuments) finishFetch(target fetchTarget, noLongerWanted bool, now time.Time) {
	document, ok := w.byKey[target.version.Key]
	if !ok || document.version != target.version {
		return
	}
	document.inFlight--
	if noLongerWanted {
		delete(w.byKey, target.version.Key)
		return
	}
	if len(document.untriedSources) == 0 {
		document.nextFetch = now.Add(fetchRetryDelay)
	}
}

// isFetching reports whether a fetch of key is in flight.
func (w *wantedDocuments) isFetching(key string) bool {
	document, ok := w.byKey[key]
	return ok && document.inFlight > 0
}

// prune removes the documents that the store no longer wants or that have been wanted
// for wantedTimeout. isWanted reports whether the store wants a version.
func (w *wantedDocuments) prune(isWanted func(Version) bool, now time.Time) {
	for key, document := range w.byKey {
		if !isWanted(document.version) || now.Sub(document.wantedSince) >= wantedTimeout {
			delete(w.byKey, key)
		}
	}
}

// keys returns the keys of all wanted documents in sorted order.
func (w *wantedDocuments) keys() []string {
	keys := make([]string, 0, len(w.byKey))
	for key := range w.byKey {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// isFetchDue reports whether a fetch may start at now. While another fetch is in
// flight, the new one is a hedge and waits for fetchHedgeAfter.
func (d *wantedDocument) isFetchDue(now time.Time) bool {
	if d.inFlight > 0 && now.Sub(d.lastFetchStart) < fetchHedgeAfter {
		return false
	}
	return !now.Before(d.nextFetch)
}
