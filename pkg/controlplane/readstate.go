package controlplane

import (
	"slices"

	"github.com/sycamorelift/sycamorelift/pkg/configclient"
)

// readState records which revisions this instance has read from the configuration
// service. It is not safe for concurrent use.
type readState struct {
	completeRevision int64            // service revision up to which all keys were read
	keyRevisions     map[string]int64 // last service revision read, by key
}

func newReadState() *readState {
	return &readState{keyRevisions: make(map[string]int64)}
}

// keysToRead returns the changed keys whose documents have to be read, the bundle
// first. A key is skipped when its revision was read before. Any document but the
// bundle is also skipped when the store holds that revision already, for example
// from a peer: only the bundle is not ordered by the service's revision.
func (r *readState) keysToRead(reply configclient.WatchReply, store *Store) []string {
	var keys []string
	for key, revision := range reply.KeyRevisions {
		if !isControlKey(key) || revision <= r.keyRevisions[key] {
			continue
		}
		document, ok := store.Get(key)
		if key != KeyBundle && ok && document.Revision >= revision {
			continue
		}
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareReadOrder)
	return keys
}

// compareReadOrder orders the bundle first, since it has to take effect soonest, and
// the other keys by name.
func compareReadOrder(a, b string) int {
	switch {
	case a == b:
		return 0
	case a == KeyBundle:
		return -1
	case b == KeyBundle:
		return 1
	case a < b:
		return -1
	default:
		return 1
	}
}

// recordRead records that a key was read at a revision of the service.
func (r *readState) recordRead(key string, revision int64) {
	r.keyRevisions[key] = max(r.keyRevisions[key], revision)
}

// recordCompleteRevision records that all keys were read up to a revision of the
// service.
func (r *readState) recordCompleteRevision(revision int64) {
	r.completeRevision = max(r.completeRevision, revision)
}
