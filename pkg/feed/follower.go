package feed

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

const (
	// storeWatchWait is how long the store holds a watch without changes. It is short, so
	// that a watch on an unresponsive connection is abandoned, and the instances that
	// follow this one are told, well within the 3 s in which a change has to take effect.
	storeWatchWait = 1500 * time.Millisecond
	// peerWatchWait is how long another instance holds a watch without changes. Such
	// watches do not count against the store's limit.
	peerWatchWait = 1000 * time.Millisecond
	// watchGrace is how long after the end of the wait the reply to a watch may arrive.
	watchGrace = 400 * time.Millisecond
	// storePause is the pause between watches of the store. It gathers changes that come
	// close together into one call, and is short compared with the 3 s in which a change
	// has to take effect.
	storePause = 200 * time.Millisecond
	// peerPause is the pause between watches of other instances, which do not count
	// against the store's limit, and before a call to another source.
	peerPause = 20 * time.Millisecond
	// readTimeout bounds a complete read of the items.
	readTimeout = 3 * time.Second
	// initialBackoff and maxBackoff space the calls to a failing store: all calls count
	// against the store's limit, including those that it refuses.
	initialBackoff = 150 * time.Millisecond
	maxBackoff     = 900 * time.Millisecond
)

// Follower keeps the table and the directory up to date. It is safe for concurrent use.
type Follower struct {
	store     Store
	sources   Sources
	decoder   Decoder
	directory *directory.Directory
	logger    *slog.Logger
	clock     clock
	cache     *watchCache

	table     atomic.Pointer[tableInForce]
	confirmed confirmation // of the whole view
	restored  restoration
	// storeTable is the version of the store's table, which is older than the one in force
	// after a restore until the operator has published again.
	storeTable atomic.Int64
	era        atomic.Int64 // of the view; 0 is unknown
	fullReads  FullReads
	confirmer  *tableConfirmer
	calls      StoreCalls
	rejected   *rejections

	mu        sync.Mutex // serializes changes of table, ready and storeLost
	ready     chan struct{}
	storeLost chan struct{} // closed while the store does not answer this instance; guarded by mu
}

// NewFollower returns a follower that has not read anything yet.
func NewFollower(store Store, sources Sources, decoder Decoder, d *directory.Directory, logger *slog.Logger) *Follower {
	f := &Follower{
		store:     store,
		sources:   sources,
		decoder:   decoder,
		directory: d,
		logger:    logger,
		clock:     systemClock(),
		cache:     newWatchCache(),
		rejected:  newRejections(logger),
		ready:     make(chan struct{}),
		storeLost: make(chan struct{}),
	}
	f.restored.decoder = decoder
	f.confirmer = &tableConfirmer{
		store:   store,
		sources: sources,
		logger:  logger,
		calls:   &f.calls,
		now:     func() time.Time { return f.clock.now() },
		current: f.Table,
		adopt: func(item Item, origin string) *routing.Table {
			table := f.decoder.Decode(item).Table
			f.adoptTable(item, table, origin)
			return table
		},
		viewAge:     f.Age,
		era:         f.era.Load,
		confirmable: f.tableConfirmable,
	}
	return f
}

// tableInForce is a table with the item that it was published in.
type tableInForce struct {
	*routing.Table
	item Item
}

// Table returns the newest known table, or nil before the first one.
func (f *Follower) Table() *routing.Table {
	if t := f.table.Load(); t != nil {
		return t.Table
	}
	return nil
}

// StoreCalls returns the numbers of calls to the store.
func (f *Follower) StoreCalls() *StoreCalls { return &f.calls }

// Rejected returns how many revisions of items could not be decoded.
func (f *Follower) Rejected() int64 { return f.rejected.count.Load() }

// FullReads returns the numbers of complete reads.
func (f *Follower) FullReads() *FullReads { return &f.fullReads }

// Ready returns a channel that is closed once the table and the list of backend servers
// have been read.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Age returns the time since the store last confirmed the view.
func (f *Follower) Age() time.Duration { return f.confirmed.age(f.clock.now()) }

// Confirm returns the newest known table and whether the store has confirmed it within
// maxConfirmedAge. If it has not, Confirm asks the zone's reader or the store.
func (f *Follower) Confirm(ctx context.Context) (*routing.Table, bool) {
	if f.Table() == nil {
		return f.awaitReady(ctx)
	}
	if f.confirmer.age() < maxConfirmedAge {
		return f.Table(), true
	}
	if !f.tableConfirmable(f.clock.now()) {
		return f.Table(), false // no answer of anyone could change that
	}
	err := f.confirmer.byAnyone(ctx)
	return f.Table(), err == nil && f.confirmer.age() < maxConfirmedAge
}

// ConfirmTable tells another instance, which has the table of the given version, what is known
// of the newest one. It asks the store if need be, but no other instance, so that instances
// that take each other for the reader do not wait for each other. If the store does not
// answer, the reply shows it by its age.
func (f *Follower) ConfirmTable(ctx context.Context, version int64) TableReply {
	if f.Table() == nil {
		return TableReply{Age: unconfirmedAge}
	}
	if f.confirmer.age() >= maxAgeForPeers && f.tableConfirmable(f.clock.now()) {
		_ = f.confirmer.byStore(ctx) // the reply's age shows a failure
	}
	// The age comes first: a table that arrives after it is at least as new.
	reply := TableReply{Age: f.confirmer.age(), Era: f.era.Load()}
	current := f.table.Load()
	reply.Version = current.Version()
	if reply.Version > version {
		reply.Item = &current.item
	}
	return reply
}

// awaitReady waits until this instance has read the table and the backend servers.
// Requests that arrive at a starting instance wait here, but not while the store does not
// answer: they are refused while their callers still have the time to try again.
func (f *Follower) awaitReady(ctx context.Context) (*routing.Table, bool) {
	f.mu.Lock()
	storeLost := f.storeLost
	f.mu.Unlock()
	select {
	case <-f.ready:
		return f.Table(), true
	case <-storeLost:
		return f.Table(), false
	case <-ctx.Done():
		return nil, false
	}
}

// adoptTable puts a table in force unless a table of the same or a newer version is.
func (f *Follower) adoptTable(item Item, table *routing.Table, origin string) {
	if table == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.table.Load()
	if current != nil && table.Version() <= current.Version() {
		return
	}
	f.table.Store(&tableInForce{Table: table, item: item})
	var before int64
	if current != nil {
		before = current.Version()
	}
	f.logger.Info("table in force", "table_version", table.Version(), "before", before, "routes", table.RouteCount(), "origin", origin)
}

// Serve follows the store or another instance until ctx ends. It implements
// suture.Service.
func (f *Follower) Serve(ctx context.Context) error {
	loop := &followLoop{follower: f}
	for ctx.Err() == nil {
		sleep(ctx, loop.step(ctx))
	}
	return ctx.Err()
}

// String names the service in the supervisor's log.
func (f *Follower) String() string { return "store follower" }

// markReady closes ready once a table is known.
func (f *Follower) markReady() {
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

func (c clock) backoff(failures int) time.Duration {
	delay := min(initialBackoff<<min(failures-1, 6), maxBackoff)
	// Half of the delay is random, so that the instances do not call at the same time.
	return delay/2 + c.random(delay/2)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// tableConfirmable reports whether a confirmation of the table in force as of a time holds. It
// does not if the store had been restored and its writers had not had the time to write again, or
// if the store's table is older.
func (f *Follower) tableConfirmable(asOf time.Time) bool {
	began := f.restored.beganAt()
	return began.IsZero() || !asOf.Before(began.Add(rewriteTime)) && !f.storeTableIsOlder()
}

func (f *Follower) storeTableIsOlder() bool {
	table := f.Table()
	return table != nil && f.storeTable.Load() < table.Version()
}

// observeStoreTable records the version of the store's table, and puts the table in force if it is
// newer although an earlier one is held after a restore. Complete tells whether the items are all
// items of the store.
func (f *Follower) observeStoreTable(items []Item, complete bool, origin string) {
	current := f.table.Load()
	if current == nil {
		return
	}
	if complete {
		f.storeTable.Store(0)
	}
	for _, item := range items {
		if item.Key != current.item.Key {
			continue
		}
		if bytes.Equal(item.Value, current.item.Value) {
			f.storeTable.Store(current.Version())
		} else if table := f.decoder.Decode(item).Table; table != nil {
			f.storeTable.Store(table.Version())
			f.adoptTable(item, table, origin)
		}
	}
}

// settle ends the time for which items are held after a restore.
func (f *Follower) settle(now time.Time) {
	changes := f.restored.settle(now, f.cache.item)
	if len(changes) == 0 {
		return
	}
	f.cache.rememberRemoved(changes)
	f.applyChanges(changes, "restore")
	for _, item := range changes {
		if id := f.decoder.Decode(item).ServerID; item.Removed && id != "" {
			f.directory.Forget(id)
		}
	}
	f.logger.Info("items held after a restore of the store released", "items", len(changes), "era", f.era.Load())
}

// isSourceFailure reports whether err means that the source failed. ErrHistoryGone does
// not: the source answered, but no longer has the changes.
func isSourceFailure(err error) bool { return err != nil && !errors.Is(err, ErrHistoryGone) }
