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
	"github.com/sycamorelift/sycamorelift/pkg/peering/peeringpb"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

const (
	// watchWait is how long the store holds a watch without changes. A watch on a
	// connection that has become unresponsive is given up within a change's 3 s.
	watchWait = 2500 * time.Millisecond
	// watchGrace is the time beyond watchWait in which its reply arrives.
	watchGrace = 400 * time.Millisecond
	// batchPause between watches gathers changes that come together into one call;
	// it is short against the 3 s in which a change takes effect.
	batchPause = 120 * time.Millisecond
	// readTimeout bounds the reading of everything.
	readTimeout = 3 * time.Second
	// firstBackoff and longestBackoff space calls while the store fails: all calls
	// count against its limit, refused ones too.
	firstBackoff   = 150 * time.Millisecond
	longestBackoff = 900 * time.Millisecond
	// confirmedFor is how long a confirmation holds for further requests without a
	// route.
	confirmedFor = 250 * time.Millisecond
)

// Follower keeps the table and the directory up to date. It is safe for
// concurrent use.
type Follower struct {
	source    Source
	directory *directory.Directory
	logger    *slog.Logger

	table     atomic.Pointer[routing.Table]
	confirmed atomic.Pointer[time.Time] // when the question was asked whose answer confirmed the table
	confirms  singleflight.Group

	mu    sync.Mutex // makes adopting a table one step
	ready chan struct{}
}

// NewFollower returns a follower that knows nothing yet.
func NewFollower(source Source, d *directory.Directory, logger *slog.Logger) *Follower {
	return &Follower{source: source, directory: d, logger: logger, ready: make(chan struct{})}
}

// Table returns the newest table, nil before the first one.
func (f *Follower) Table() *routing.Table { return f.table.Load() }

// Ready is closed when table and list have been read once.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Age is the time since the table was last confirmed; it is an hour before the
// first time.
func (f *Follower) Age() time.Duration {
	if at := f.confirmed.Load(); at != nil {
		return time.Since(*at)
	}
	return time.Hour
}

// Confirm reads the table from the store unless that was done a moment ago. It
// returns the newest known table, and whether the store has confirmed it.
func (f *Follower) Confirm(ctx context.Context) (*routing.Table, bool) {
	if f.Age() < confirmedFor {
		return f.Table(), true
	}
	done := f.confirms.DoChan("table", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readTimeout)
		defer cancel()
		asked := time.Now()
		table, err := f.source.ReadTable(ctx)
		if err != nil {
			f.logger.Warn("table not confirmed by the store", "error", err, "view_age_ms", f.Age().Milliseconds())
			return nil, err
		}
		f.adopt(table, "confirmation")
		f.confirm(asked)
		return nil, nil
	})
	select {
	case result := <-done:
		return f.Table(), result.Err == nil
	case <-ctx.Done():
		return f.Table(), false
	}
}

func (f *Follower) confirm(asked time.Time) { f.confirmed.Store(&asked) }

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

// Serve follows the store until ctx ends. It implements suture.Service.
func (f *Follower) Serve(ctx context.Context) error {
	failures := 0
	var revision int64
	synced := false
	for ctx.Err() == nil {
		var err error
		if synced {
			revision, err = f.watch(ctx, revision)
		} else {
			revision, err = f.read(ctx)
		}
		if ctx.Err() != nil {
			break
		}
		if err == nil {
			f.regained(failures)
			failures = 0
			synced = true
			pause(ctx, batchPause)
			continue
		}
		failures++
		f.failed(err, failures)
		if errors.Is(err, ErrHistoryGone) {
			synced = false
			failures = 0
			continue
		}
		pause(ctx, backoff(failures))
	}
	return ctx.Err()
}

// String names the service in the supervisor's log.
func (f *Follower) String() string { return "store follower" }

func (f *Follower) read(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	asked := time.Now()
	state, err := f.source.Read(ctx)
	if err != nil {
		return 0, err
	}
	f.logUnreadable(state.Unreadable)
	for _, change := range f.directory.Replace(state.Servers) {
		f.logChange(change, state.Revision)
	}
	f.adopt(state.Table, "read")
	f.confirm(asked)
	staying, leaving := f.directory.Count()
	f.logger.Info("store read", "revision", state.Revision, "backend_servers", staying, "leaving", leaving)
	if state.Table != nil {
		f.becomeReady()
	}
	return state.Revision, nil
}

func (f *Follower) watch(ctx context.Context, after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchGrace)
	defer cancel()
	asked := time.Now()
	changes, err := f.source.Watch(ctx, after, watchWait)
	if err != nil {
		return after, err
	}
	f.logUnreadable(changes.Unreadable)
	for _, change := range changes.Servers {
		f.apply(change, changes.Revision)
	}
	for _, id := range f.directory.Sweep() {
		f.logger.Info("backend server forgotten", "backend_server", id)
	}
	f.adopt(changes.Table, "watch")
	f.confirm(asked)
	if f.Table() != nil {
		f.becomeReady()
	}
	return max(changes.Revision, after), nil
}

func (f *Follower) apply(change ServerChange, revision int64) {
	if change.Entry == nil {
		f.logChange(f.directory.Remove(change.ID), revision)
		return
	}
	f.logChange(f.directory.Put(*change.Entry), revision)
}

func (f *Follower) becomeReady() {
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

func (f *Follower) logUnreadable(items []Unreadable) {
	for _, item := range items {
		f.logger.Warn("published item cannot be used", "key", item.Key, "error", item.Cause)
	}
}

func (f *Follower) failed(err error, failures int) {
	if failures == 1 {
		f.logger.Warn("store lost", "error", err, "view_age_ms", f.Age().Milliseconds())
	}
}

func (f *Follower) regained(failures int) {
	if failures > 0 {
		f.logger.Info("store regained", "failed_calls", failures)
	}
}

func backoff(failures int) time.Duration {
	delay := firstBackoff << min(failures-1, 6)
	delay = min(delay, longestBackoff)
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

// ServeWatch placeholder.
func (f *Follower) ServeWatch(ctx context.Context, m *peeringpb.WatchRequest) (*peeringpb.WatchReply, error) {
	return nil, errors.New("not served")
}
