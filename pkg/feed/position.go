package feed

import (
	"cmp"
	"strconv"
)

// firstEra is the era of a store that has never been restored.
const firstEra = 1

// Position is a position in the store's history. The store starts a new era when it is restored
// from a copy: revisions then go back and are assigned again to other changes. Positions are
// ordered by era, then by revision.
type Position struct {
	Era      int64 // at least 1; 0 is unknown
	Revision int64
}

// Compare returns -1, 0 or 1 as p is before, at or after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// orInEra returns p, in the given era if its own is unknown.
func (p Position) orInEra(known int64) Position {
	if p.Era == 0 {
		p.Era = known
	}
	return p
}

// String returns "ERA/REVISION".
func (p Position) String() string {
	return strconv.FormatInt(p.Era, 10) + "/" + strconv.FormatInt(p.Revision, 10)
}
