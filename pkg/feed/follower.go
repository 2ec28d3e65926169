package feed

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

const (
	// storeHold is how long the store holds a watch without changes. One on a
	// connection that has become unresponsive is given up, and everybody who follows
	// this instance is told so, well within a change's 3 s.
	storeHold = 1500 * time.Millisecond
	// peerHold is the same for a watch of another instance, which costs nothing.
	peerHold = 1000 * time.Millisecond
	// watchGrace is the time beyond the hold in which the reply arrives.
	watchGrace = 400 * time.Millisecond
	// batchPause between watches of the store gathers changes that come together
	// into one call; it is short against the 3 s in which a change takes effect.
	batchPause = 200 * time.Millisecond
	// peerPause is the same for watches of other instances, which cost nothing.
	peerPause = 20 * time.Millisecond
	// readTimeout bounds the reading of everything.
	readTimeout = 3 * time.Second
	// firstBackoff and longestBackoff space calls while a source fails: all calls
	// count against the store's limit, refused ones too.
	firstBackoff   = 150 * time.Millisecond
	longestBackoff = 900 * time.Millisecond
	// confirmedFor is the age of the view up to which a request without a route is
	// refused by it. A table has 3 s to take effect; the rest is for a reader
	// between the store and this instance.
	confirmedFor = 1500 * time.Millisecond
)

// Follower keeps the table and the directory up to date. It is safe for
// concurrent use.
type Follower struct {
	store     Store
	sources   Sources
	decoder   Decoder
	directory *directory.Directory
	logger    *slog.Logger
	journal   *journal

	table     atomic.Pointer[routing.Table]
	confirmed atomic.Pointer[time.Time] // up to when the store has confirmed the view
	confirms  singleflight.Group

	mu      sync.Mutex // makes adopting a table one step
	ready   chan struct{}
	failing chan struct{} // closed while this instance has lost the store; guarded by mu
}

// NewFollower returns a follower that knows nothing yet.
func NewFollower(store Store, sources Sources, decoder Decoder, d *directory.Directory, logger *slog.Logger) *Follower {
	return &Follower{
		store:     store,
		sources:   sources,
		decoder:   decoder,
		directory: d,
		logger:    logger,
		journal:   newJournal(),
		ready:     make(chan struct{}),
		failing:   make(chan struct{}),
	}
}

// Table returns the newest table, nil before the first one.
func (f *Follower) Table() *routing.Table { return f.table.Load() }

// Ready is closed when table and list have been read once.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// neverConfirmed stands in for the age before the first confirmation.
const neverConfirmed = time.Hour

// Age is the time since the store has confirmed the view.
func (f *Follower) Age() time.Duration {
	if at := f.confirmed.Load(); at != nil {
		return time.Since(*at)
	}
	return neverConfirmed
}

// Confirm reads the table from the store unless the view was confirmed a moment
// ago. It returns the newest known table, and whether it is confirmed.
func (f *Follower) Confirm(ctx context.Context) (*routing.Table, bool) {
	if f.Table() == nil {
		return f.awaitReady(ctx)
	}
	if f.Age() < confirmedFor {
		return f.Table(), true
	}
	done := f.confirms.DoChan("table", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readTimeout)
		defer cancel()
		batch, err := f.store.ReadTable(ctx)
		if err != nil {
			f.logger.Warn("table not confirmed by the store", "error", err, "view_age_ms", f.Age().Milliseconds())
			return nil, err
		}
		for _, item := range batch.Items {
			f.adopt(f.decoder.Decode(item).Table, "confirmation")
		}
		return nil, nil
	})
	select {
	case result := <-done:
		return f.Table(), result.Err == nil
	case <-ctx.Done():
		return f.Table(), false
	}
}

// awaitReady lets the requests that reach a starting instance wait until it knows
// the table and the servers.
func (f *Follower) awaitReady(ctx context.Context) (*routing.Table, bool) {
	select {
	case <-f.ready:
		return f.Table(), true
	case <-ctx.Done():
		return nil, false
	}
}

// confirm moves the time up to which the view is confirmed; it never goes back.
func (f *Follower) confirm(at time.Time) {
	for {
		old := f.confirmed.Load()
		if old != nil && !at.After(*old) || f.confirmed.CompareAndSwap(old, &at) {
			return
		}
	}
}

// adopt takes over a table unless a newer one is in force.
func (f *Follower) adopt(table *routing.Table, origin string) {
	if table == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.table.Load()
	if current != nil && table.Version() <= current.Version() {
		return
	}
	f.table.Store(table)
	var before int64
	if current != nil {
		before = current.Version()
	}
	f.logger.Info("table in force", "table_version", table.Version(), "before", before, "routes", table.Routes(), "origin", origin)
}

// Serve follows until ctx ends. It implements suture.Service.
func (f *Follower) Serve(ctx context.Context) error {
	cycle := &cycle{follower: f}
	for ctx.Err() == nil {
		pause(ctx, cycle.step(ctx))
	}
	return ctx.Err()
}

// String names the service in the supervisor's log.
func (f *Follower) String() string { return "store follower" }

// applyAll puts a complete list in force.
func (f *Follower) applyAll(b Batch, origin string) {
	var entries []directory.Entry
	var table *routing.Table
	for _, item := range b.Items {
		decoded := f.decoder.Decode(item)
		f.logUnusable(item, decoded)
		if decoded.Table != nil {
			table = decoded.Table
		}
		if decoded.Entry != nil {
			entries = append(entries, *decoded.Entry)
		}
	}
	for _, change := range f.directory.Replace(entries) {
		f.logChange(change, b.Revision)
	}
	// Only now, since requests wait for the table and need the servers as well.
	f.adopt(table, origin)
	staying, leaving := f.directory.Count()
	f.logger.Info("store read", "origin", origin, "revision", b.Revision, "backend_servers", staying, "leaving", leaving)
}

// applyChanges puts changes in force.
func (f *Follower) applyChanges(items []Item, origin string) {
	for _, item := range items {
		decoded := f.decoder.Decode(item)
		f.logUnusable(item, decoded)
		f.adopt(decoded.Table, origin)
		switch {
		case decoded.ServerID == "":
		case decoded.Entry == nil:
			f.logChange(f.directory.Remove(decoded.ServerID), item.Revision)
		default:
			f.logChange(f.directory.Put(*decoded.Entry), item.Revision)
		}
	}
	for _, id := range f.directory.Sweep() {
		f.logger.Info("backend server forgotten", "backend_server", id)
	}
}

func (f *Follower) becomeReady() {
	if f.Table() == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.ready:
	default:
		close(f.ready)
	}
}

func (f *Follower) logChange(change directory.Change, revision int64) {
	if change.Kind == directory.Unchanged {
		return
	}
	f.logger.Info("backend server "+string(change.Kind), "backend_server", change.ID, "service", change.Service, "revision", revision)
}

func (f *Follower) logUnusable(item Item, decoded Decoded) {
	if decoded.Err != nil {
		f.logger.Warn("published item cannot be used", "key", item.Key, "revision", item.Revision, "error", decoded.Err)
	}
}

func backoff(failures int) time.Duration {
	delay := min(firstBackoff<<min(failures-1, 6), longestBackoff)
	// Half of the delay is random, so that the instances do not call together.
	return delay/2 + rand.N(delay/2)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ServeAll returns everything that this instance knows, for another one. It
// returns false before it knows anything.
func (f *Follower) ServeAll() (Batch, bool) {
	b, ok := f.journal.everything()
	b.Age = f.Age()
	return b, ok
}

// ServeChanges returns the changes after a revision, for another instance. It does
// not hold the watch while this instance has lost the store, so that those who
// follow it look for another source at once.
func (f *Follower) ServeChanges(ctx context.Context, after int64, wait time.Duration) (Batch, error) {
	f.mu.Lock()
	failing := f.failing
	f.mu.Unlock()
	b, err := f.journal.after(ctx, after, wait, failing)
	b.Age = f.Age()
	select {
	case <-failing:
		b.Age = max(b.Age, staleAge+time.Millisecond)
	default:
	}
	return b, err
}

// setFailing records whether this instance has lost the store.
func (f *Follower) setFailing(failing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.failing:
		if !failing {
			f.failing = make(chan struct{})
		}
	default:
		if failing {
			close(f.failing)
		}
	}
}

// unresponsive tells a history that is gone from a source that fails.
func unresponsive(err error) bool { return err != nil && !errors.Is(err, ErrHistoryGone) }
