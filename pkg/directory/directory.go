package directory

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// lastResortShare of the platform's drain bound is the time in which a leaving
// server may still get requests when its service has no other one. The rest
// covers the delay of the list.
const lastResortShare = 0.5

// Directory holds the listed backend servers. It is safe for concurrent use.
type Directory struct {
	lastResort time.Duration // see lastResortShare
	now        func() time.Time

	mu        sync.RWMutex
	byID      map[string]*Server
	byService map[string][]*Server // replaced as a whole when a service changes
}

// New returns an empty directory. Drain is the time after the report of a drain
// in which a backend server still takes requests; now is the clock.
func New(drain time.Duration, now func() time.Time) *Directory {
	return &Directory{
		lastResort: time.Duration(lastResortShare * float64(drain)),
		now:        now,
		byID:       make(map[string]*Server),
		byService:  make(map[string][]*Server),
	}
}

// Put adds or replaces the entry of a backend server.
func (d *Directory) Put(e Entry) Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.putLocked(e)
}

func (d *Directory) putLocked(e Entry) Change {
	now := d.now()
	next := &Server{BackendServer: e.Server, Capacity: e.Capacity, Started: e.Started}
	if e.WarmUp > 0 {
		next.WarmAt = now.Add(e.WarmUp)
	}
	old := d.byID[e.Server.ID]
	if e.Server.State == membership.StateLeaving {
		next.LeavingSince = now
		if old != nil && old.Leaving() && old.Started == e.Started {
			next.LeavingSince = old.LeavingSince
		}
	}
	change := changeOf(old, next)
	d.replaceLocked(old, next)
	return change
}

// Remove notes that the entry of a backend server is gone. The server remains a
// last resort for a while: an entry can also lapse while its server is well.
func (d *Directory) Remove(id string) Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.removeLocked(id)
}

func (d *Directory) removeLocked(id string) Change {
	old := d.byID[id]
	if old == nil || old.Leaving() && old.State != membership.StateLeaving {
		return Change{ID: id}
	}
	next := *old
	next.State = membership.StateLive
	if !old.Leaving() {
		next.LeavingSince = d.now()
	}
	d.replaceLocked(old, &next)
	return Change{ID: id, Service: old.Service, Kind: Removed}
}

// Replace takes over a complete list. Servers that are not in it are removed.
func (d *Directory) Replace(entries []Entry) []Change {
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
		if change := d.removeLocked(id); change.Kind != Unchanged {
			changes = append(changes, change)
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.ID, b.ID) })
	return changes
}

// Sweep forgets servers that have been leaving for longer than they may be used
// and returns their ids.
func (d *Directory) Sweep() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	var gone []string
	for id, server := range d.byID {
		// A draining server stays listed, so that its entry is not taken for new.
		if server.Leaving() && server.State != membership.StateLeaving && d.expired(server, now) {
			d.replaceLocked(server, nil)
			gone = append(gone, id)
		}
	}
	return gone
}

// Servers returns the usable servers of a service: those that stay or, when
// there is none, those that have been leaving only for a short time. The slice
// must not be modified.
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
	return d.usable(list, leaving < len(list))
}

// LastResort returns the leaving servers of a service that may still be used.
func (d *Directory) LastResort(service string) []*Server {
	d.mu.RLock()
	list := d.byService[service]
	d.mu.RUnlock()
	now := d.now()
	var out []*Server
	for _, server := range list {
		if server.Leaving() && !d.expired(server, now) {
			out = append(out, server)
		}
	}
	return out
}

func (d *Directory) usable(list []*Server, staying bool) []*Server {
	now := d.now()
	out := make([]*Server, 0, len(list))
	for _, server := range list {
		if server.Leaving() == staying || server.Leaving() && d.expired(server, now) {
			continue
		}
		out = append(out, server)
	}
	return out
}

func (d *Directory) expired(server *Server, now time.Time) bool {
	return now.Sub(server.LeavingSince) > d.lastResort
}

// InZone returns the staying servers of an availability zone.
func (d *Directory) InZone(zone string) []*Server {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var out []*Server
	for _, server := range d.byID {
		if server.Zone == zone && !server.Leaving() {
			out = append(out, server)
		}
	}
	return out
}

// Count returns the number of servers that stay and of those that leave.
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

// replaceLocked exchanges a server for its next state; nil is none.
func (d *Directory) replaceLocked(old, next *Server) {
	if old != nil {
		list := slices.Clone(d.byService[old.Service])
		list = slices.DeleteFunc(list, func(s *Server) bool { return s.ID == old.ID })
		d.setServiceLocked(old.Service, list)
		delete(d.byID, old.ID)
	}
	if next != nil {
		list := append(slices.Clone(d.byService[next.Service]), next)
		// A fixed order makes the choice of a replica independent of the list's history.
		slices.SortFunc(list, func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
		d.setServiceLocked(next.Service, list)
		d.byID[next.ID] = next
	}
}

func (d *Directory) setServiceLocked(service string, list []*Server) {
	if len(list) == 0 {
		delete(d.byService, service)
		return
	}
	d.byService[service] = list
}
