package directory

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// statedLeavingTime is how long a server that has said that it leaves is remembered, at least
// until its process has ended.
const statedLeavingTime = 5 * time.Minute

// Directory holds the listed backend servers, and those that left the list a short time
// ago. It is safe for concurrent use.
type Directory struct {
	lastResort lastResort
	now        func() time.Time

	mu        sync.RWMutex
	byID      map[string]*Server
	byService map[string][]*Server // without drained zones; slices are shared with callers: replaced, never modified
	drained   map[string]time.Time // zones that the operator has drained, and since when
	returned  map[string]time.Time // zones that were drained for coldAfter or longer, and when they returned
	// statedLeaving holds when servers said in a reply that they leave, by Server.Key. The
	// platform's list may never say so, or this instance may not reach it.
	statedLeaving map[string]time.Time
}

// New returns an empty directory. Drain is how long a backend server still accepts
// requests after it reported that it drains; now is the clock.
func New(drain time.Duration, now func() time.Time) *Directory {
	return &Directory{
		lastResort:    lastResort{drain: drain},
		now:           now,
		byID:          make(map[string]*Server),
		byService:     make(map[string][]*Server),
		drained:       make(map[string]time.Time),
		returned:      make(map[string]time.Time),
		statedLeaving: make(map[string]time.Time),
	}
}

// Put adds or replaces the entry of a backend server and returns what changed.
func (d *Directory) Put(e Entry) Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.putLocked(e)
}

func (d *Directory) putLocked(e Entry) Change {
	now := d.now()
	next := &Server{BackendServer: e.Server, Capacity: e.Capacity, Started: e.Started, Revision: e.Revision}
	if e.WarmUp > 0 {
		next.WarmAt = now.Add(e.WarmUp)
	}
	old := d.byID[e.Server.ID]
	if old != nil && e.Revision != 0 && old.Revision == e.Revision && old.Key() == next.Key() {
		// The entry is the one known already, in another complete list. It says nothing new
		// about how long the server is cold.
		next.WarmAt, next.ColdAssumed = old.WarmAt, old.ColdAssumed
	}
	if e.Server.State == membership.StateLeaving {
		next.LeavingSince, next.lastResortUntil = now, d.lastResort.end(now, e.After)
		if old != nil && old.Leaving() && old.Started == e.Started {
			next.LeavingSince, next.lastResortUntil = old.LeavingSince, earlier(old.lastResortUntil, next.lastResortUntil)
		}
	}
	if since, ok := d.statedLeaving[next.Key()]; ok {
		stated := d.lastResort.end(since, time.Time{})
		if next.Leaving() {
			stated = earlier(stated, next.lastResortUntil)
		}
		next.State = membership.StateLeaving
		next.LeavingSince, next.lastResortUntil = since, stated
	}
	change := changeOf(old, next)
	d.replaceLocked(old, next)
	return change
}

// MarkLeaving records that a run of a server has said that it leaves. Whatever the platform's
// list says, it is then used as one that drains.
func (d *Directory) MarkLeaving(server *Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key, now := server.Key(), d.now()
	if _, known := d.statedLeaving[key]; known {
		return
	}
	for other, since := range d.statedLeaving {
		if now.Sub(since) > statedLeavingTime {
			delete(d.statedLeaving, other)
		}
	}
	d.statedLeaving[key] = now
	listed := d.byID[server.ID]
	if listed == nil || listed.Key() != key || listed.Leaving() {
		return
	}
	next := *listed
	next.State = membership.StateLeaving
	next.LeavingSince, next.lastResortUntil = now, d.lastResort.end(now, time.Time{})
	d.replaceLocked(listed, &next)
}

// Remove marks a backend server as leaving because its entry is gone. The server stays
// usable as a last resort for a while, since an entry can expire while its server works. The
// platform has removed the entry after the given time, zero if unknown.
func (d *Directory) Remove(id string, after time.Time) Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.removeLocked(id, after)
}

func (d *Directory) removeLocked(id string, after time.Time) Change {
	old := d.byID[id]
	if old == nil || old.Leaving() && old.State != membership.StateLeaving {
		return Change{ID: id}
	}
	next := *old
	next.State = membership.StateLive
	if now := d.now(); !old.Leaving() {
		next.LeavingSince, next.lastResortUntil = now, d.lastResort.endOfLapsed(now, after)
	}
	d.replaceLocked(old, &next)
	return Change{ID: id, Service: old.Service, Kind: Removed}
}

// Forget deletes a server that left the list, so that it is not used as a last resort either.
func (d *Directory) Forget(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if server := d.byID[id]; server != nil && server.Leaving() {
		d.replaceLocked(server, nil)
	}
}

// Replace applies a complete list: it puts its entries and removes all other servers, whose
// entries the platform has removed after the given time, zero if unknown. The changes are sorted
// by server ID.
func (d *Directory) Replace(entries []Entry, after time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[string]bool, len(entries))
	var changes []Change
	for _, e := range entries {
		listed[e.Server.ID] = true
		if change := d.putLocked(e); change.Kind != Unchanged {
			changes = append(changes, change)
		}
	}
	for id := range d.byID {
		if listed[id] {
			continue
		}
		if change := d.removeLocked(id, after); change.Kind != Unchanged {
			changes = append(changes, change)
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.ID, b.ID) })
	return changes
}

// Sweep deletes unlisted servers that may no longer be used as a last resort and returns
// their IDs.
func (d *Directory) Sweep() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	var removed []string
	for id, server := range d.byID {
		// A draining server is kept while it is listed. Otherwise its next entry would
		// count as a new server.
		if server.Leaving() && server.State != membership.StateLeaving && server.lastResortExpired(now) {
			d.replaceLocked(server, nil)
			removed = append(removed, id)
		}
	}
	return removed
}

// MayUse reports whether a server that was chosen earlier may still get a request: the same
// run of it is listed in a zone that is not drained, and if it leaves, its last-resort time has
// not expired.
func (d *Directory) MayUse(server *Server) bool {
	listed := d.listed(server)
	return listed != nil && !listed.drained && (!listed.Leaving() || !listed.lastResortExpired(d.now()))
}

// HasBegunToLeave reports whether a server that was chosen while it stayed leaves now, or its
// zone has been drained since.
func (d *Directory) HasBegunToLeave(server *Server) bool {
	listed := d.listed(server)
	return listed != nil && (listed.drained || !server.Leaving() && listed.Leaving())
}

// listed returns the current state of this run of a server, or nil.
func (d *Directory) listed(server *Server) *Server {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if listed := d.byID[server.ID]; listed != nil && listed.Key() == server.Key() {
		return listed
	}
	return nil
}

// Servers returns the usable servers of a service: those that are not leaving or, if there
// are none, the last-resort servers. The caller must not modify the slice.
func (d *Directory) Servers(service string) []*Server {
	d.mu.RLock()
	list := d.byService[service]
	d.mu.RUnlock()
	leaving := 0
	for _, server := range list {
		if server.Leaving() {
			leaving++
		}
	}
	if leaving == 0 {
		return list
	}
	return d.filterUsable(list, leaving < len(list))
}

// LastResort returns the leaving servers of a service that may still be used if no other
// server can.
func (d *Directory) LastResort(service string) []*Server {
	d.mu.RLock()
	list := d.byService[service]
	d.mu.RUnlock()
	now := d.now()
	var out []*Server
	for _, server := range list {
		if server.Leaving() && !server.lastResortExpired(now) {
			out = append(out, server)
		}
	}
	return out
}

// filterUsable returns the servers that are not leaving or, if there are none, those whose
// last-resort time has not expired.
func (d *Directory) filterUsable(list []*Server, hasStaying bool) []*Server {
	now := d.now()
	out := make([]*Server, 0, len(list))
	for _, server := range list {
		if server.Leaving() == hasStaying || server.Leaving() && server.lastResortExpired(now) {
			continue
		}
		out = append(out, server)
	}
	return out
}

// ServersInZone returns the servers of an availability zone that are not leaving, and none for
// a drained zone.
func (d *Directory) ServersInZone(zone string) []*Server {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if d.isDrainedLocked(zone) {
		return nil
	}
	var out []*Server
	for _, server := range d.byID {
		if server.Zone == zone && !server.Leaving() {
			out = append(out, server)
		}
	}
	return out
}

// Count returns the number of leaving servers and of all others.
func (d *Directory) Count() (staying, leaving int) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, server := range d.byID {
		if server.Leaving() {
			leaving++
		} else {
			staying++
		}
	}
	return staying, leaving
}

// replaceLocked replaces the state old of a server by next. A nil old adds the server, a
// nil next deletes it.
func (d *Directory) replaceLocked(old, next *Server) {
	if next != nil {
		next.leaves = nil
		next.drained = d.isDrainedLocked(next.Zone)
		next.ReturnedAt = d.returned[next.Zone]
	}
	switch {
	case next != nil && !next.drained && old.mayBecome(next):
		next.leaves = old.leaves
	case old != nil && !old.drained:
		close(old.leaves)
	}
	if next != nil && !next.drained && next.leaves == nil {
		next.leaves = make(chan struct{})
	}
	if old != nil {
		list := slices.Clone(d.byService[old.Service])
		list = slices.DeleteFunc(list, func(s *Server) bool { return s.ID == old.ID })
		d.setServiceLocked(old.Service, list)
		delete(d.byID, old.ID)
	}
	if next == nil {
		return
	}
	d.byID[next.ID] = next
	if next.drained {
		return
	}
	list := append(slices.Clone(d.byService[next.Service]), next)
	// Sorting by ID makes the choice among equal replicas independent of the order in which
	// their entries arrived.
	slices.SortFunc(list, func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
	d.setServiceLocked(next.Service, list)
}

func (d *Directory) setServiceLocked(service string, list []*Server) {
	if len(list) == 0 {
		delete(d.byService, service)
		return
	}
	d.byService[service] = list
}
