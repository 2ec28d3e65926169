package controlplane

import (
	"slices"

	"github.com/sycamorelift/sycamorelift/pkg/configclient"
)

// readState records up to which revisions this instance has read the documents
// from the configuration service. It is not safe for concurrent use.
type readState struct {
	readUpTo     int64            // revision of the service up to which all documents were read
	keyRevisions map[string]int64 // highest revision at which each document was read
}

func newReadState() *readState {
	return &readState{keyRevisions: make(map[string]int64)}
}

// unreadKeys returns the changed keys that have to be read from the service, the
// bundle first. It skips keys that were read at this revision or a later one. It
// also skips documents that a peer has already supplied at this revision or a
// later one; this does not apply to the bundle, whose held revision is its signed
// version instead of the service's revision.
func (r *readState) unreadKeys(reply configclient.WatchReply, store *Store) []string {
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
	slices.SortFunc(keys, compareBundleFirst)
	return keys
}

// compareBundleFirst sorts the bundle before all other keys, because a bundle has
// to take effect soonest.
func compareBundleFirst(a, b string) int {
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

// recordRead records that the document of key was read at a revision of the service.
func (r *readState) recordRead(key string, revision int64) {
	r.keyRevisions[key] = max(r.keyRevisions[key], revision)
}

// recordReadUpTo records that all documents were read up to a revision.
func (r *readState) recordReadUpTo(revision int64) {
	r.readUpTo = max(r.readUpTo, revision)
}
