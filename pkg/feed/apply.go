package feed

import (
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

// applyAll puts a complete list of items in force. The store has removed what the list lacks after
// the given time, zero if unknown.
func (f *Follower) applyAll(b Batch, removedAfter time.Time, origin string) {
	var entries []directory.Entry
	var drainedZones []string
	var table *routing.Table
	var tableItem Item
	for _, item := range b.Items {
		decoded := f.decoder.Decode(item)
		f.logDecodeError(item, decoded)
		if decoded.Table != nil {
			table, tableItem = decoded.Table, item
		}
		if decoded.Entry != nil {
			decoded.Entry.Revision, decoded.Entry.After = item.Revision, item.WrittenAfter
			entries = append(entries, *decoded.Entry)
		}
		if decoded.DrainedZone != "" && !item.Removed {
			drainedZones = append(drainedZones, decoded.DrainedZone)
		}
	}
	// Zones are drained before their servers are listed, and return after that, so that
	// no server of a drained zone is in use in between.
	for _, zone := range drainedZones {
		f.logZoneChange(f.directory.DrainZone(zone), b.Position.Revision)
	}
	for _, change := range f.directory.Replace(entries, removedAfter) {
		f.logChange(change, b.Position.Revision, removedAfter)
	}
	for _, change := range f.directory.ReturnOtherZones(drainedZones) {
		f.logZoneChange(&change, b.Position.Revision)
	}
	// The table comes last: requests that wait for it need the backend servers as well.
	f.adoptTable(tableItem, table, origin)
	staying, leaving := f.directory.Count()
	f.logger.Info("store read", "origin", origin, "era", b.Position.Era, "revision", b.Position.Revision, "backend_servers", staying, "leaving", leaving)
}

// applyChanges puts changed items in force.
func (f *Follower) applyChanges(items []Item, origin string) {
	for _, item := range items {
		decoded := f.decoder.Decode(item)
		f.logDecodeError(item, decoded)
		f.adoptTable(item, decoded.Table, origin)
		switch {
		case decoded.DrainedZone != "" && item.Removed:
			f.logZoneChange(f.directory.ReturnZone(decoded.DrainedZone), item.Revision)
		case decoded.DrainedZone != "":
			f.logZoneChange(f.directory.DrainZone(decoded.DrainedZone), item.Revision)
		case decoded.ServerID == "":
		case decoded.Entry == nil:
			f.logChange(f.directory.Remove(decoded.ServerID, item.WrittenAfter), item.Revision, item.WrittenAfter)
		default:
			decoded.Entry.Revision, decoded.Entry.After = item.Revision, item.WrittenAfter
			f.logChange(f.directory.Put(*decoded.Entry), item.Revision, item.WrittenAfter)
		}
	}
	for _, id := range f.directory.Sweep() {
		f.logger.Info("backend server forgotten", "backend_server", id)
	}
}

// logChange logs a change that the store has accepted after a time, zero if unknown.
func (f *Follower) logChange(change directory.Change, revision int64, after time.Time) {
	if change.Kind == directory.Unchanged {
		return
	}
	maxAge := -time.Millisecond
	if !after.IsZero() {
		maxAge = f.clock.now().Sub(after)
	}
	f.logger.Info("backend server "+string(change.Kind), "backend_server", change.ID, "service", change.Service, "revision", revision,
		"max_age_ms", maxAge.Milliseconds())
}

// logZoneChange logs that a zone was drained or has returned; change is nil if nothing changed.
func (f *Follower) logZoneChange(change *directory.ZoneChange, revision int64) {
	if change == nil {
		return
	}
	message := "zone returned"
	if change.Drained {
		message = "zone drained"
	}
	f.logger.Info(message, "zone", change.Zone, "backend_servers", change.Servers, "revision", revision)
}

func (f *Follower) logDecodeError(item Item, decoded Decoded) {
	if decoded.Err != nil {
		f.rejected.record(item, decoded.Err)
	}
}
