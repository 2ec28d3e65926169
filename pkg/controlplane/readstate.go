package controlplane

import (
	"slices"

	"github.com/sycamorelift/sycamorelift/pkg/configclient"
)

// readState holds what this instance has read of the service. It is not safe
// for concurrent use.
type readState struct {
	after int64            // revision of the service up to which all keys were read
	seen  map[string]int64 // service revision of each key that was read
}

func newReadState() *readState {
	return &readState{seen: make(map[string]int64)}
}

// unread returns the keys that have to be read after a change: newer than the
// last read, and for documents that the service's revision orders also newer
// than the one that came from a peer.
func (r *readState) unread(change configclient.WatchReply, store *Store) []string {
	var keys []string
	for key, revision := range change.KeyRevisions {
		if !isControlKey(key) || revision <= r.seen[key] {
			continue
		}
		held, ok := store.Get(key)
		if key != KeyBundle && ok && held.Revision >= revision {
			continue
		}
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareUrgency)
	return keys
}

// compareUrgency orders the bundle first, since it has to be in effect soonest.
func compareUrgency(a, b string) int {
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

// read records that a key was read at a revision of the service.
func (r *readState) read(key string, revision int64) {
	r.seen[key] = max(r.seen[key], revision)
}

// completed records that everything up to a revision was read.
func (r *readState) completed(revision int64) {
	r.after = max(r.after, revision)
}
