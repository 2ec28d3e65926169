package feed

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/routing"
)

var errUnavailable = errors.New("store is down")

// fakeStore is a store with a history of changes, in a format for tests: the key "table"
// holds a version, each key "server/ID" holds the state of a server, and each key
// "drained/ZONE" drains a zone.
type fakeStore struct {
	cache *watchCache

	mu           sync.Mutex
	down         bool
	calls        int
	reads        int                   // complete reads, among the calls
	statedEra    func(era int64) int64 // nil states the true one
	lastRevision int64
	tables       []tableWrite // oldest first
}

// tableWrite is a table that was published with writeTable.
type tableWrite struct {
	version int64
	at      time.Time
}

func newFakeStore() *fakeStore {
	s := &fakeStore{cache: newWatchCache()}
	s.cache.replace(Batch{}, time.Time{})
	return s
}

func (s *fakeStore) write(key, value string) {
	s.mu.Lock()
	s.lastRevision++
	item := Item{Key: key, Value: []byte(value), Revision: s.lastRevision, Removed: value == ""}
	s.mu.Unlock()
	s.cache.add([]Item{item}, item.Revision, time.Time{})
}

func (s *fakeStore) writeTable(version int64) {
	s.write("table", strconv.FormatInt(version, 10))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tables = append(s.tables, tableWrite{version: version, at: time.Now()})
}

// tableVersionBefore returns the version of the newest table that writeTable had published at
// a time, or 0.
func (s *fakeStore) tableVersionBefore(at time.Time) (version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, written := range s.tables {
		if written.at.Before(at) {
			version = written.version
		}
	}
	return version
}

// restore starts the next era with a copy that all has returned.
func (s *fakeStore) restore(copied Batch) {
	s.mu.Lock()
	s.lastRevision = copied.Position.Revision
	s.mu.Unlock()
	copied.Position.Era = s.cache.position.Era + 1
	s.cache.replace(copied, time.Time{})
}

func (s *fakeStore) copy() Batch {
	b, _, _ := s.cache.all()
	return b
}

func (s *fakeStore) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// state sets the era that an answer states.
func (s *fakeStore) state(b Batch) Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.statedEra != nil {
		b.Position.Era = s.statedEra(b.Position.Era)
	}
	return b
}

// dropHistory discards all past changes, as the store does after a while.
func (s *fakeStore) dropHistory() {
	s.cache.mu.Lock()
	defer s.cache.mu.Unlock()
	s.cache.changesFrom = s.cache.position.Revision
	s.cache.changes = nil
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) callCount() (calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) call() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return errUnavailable
	}
	return nil
}

func (s *fakeStore) Read(context.Context) (Batch, error) {
	if err := s.call(); err != nil {
		return Batch{}, err
	}
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	return s.state(s.copy()), nil
}

func (s *fakeStore) ReadTable(context.Context) (Batch, error) {
	if err := s.call(); err != nil {
		return Batch{}, err
	}
	return s.state(s.copy()), nil
}

func (s *fakeStore) Watch(ctx context.Context, after Position, wait time.Duration) (Batch, error) {
	if err := s.call(); err != nil {
		return Batch{}, err
	}
	if after.Revision > s.copy().Position.Revision {
		return Batch{}, &HistoryGoneError{Era: s.state(s.copy()).Position.Era}
	}
	after.Era = 0 // the store answers by the revision alone
	b, _, err := s.cache.waitForChanges(ctx, after, wait, nil)
	return s.state(b), err
}

// fakeDecoder decodes the format of fakeStore.
type fakeDecoder struct{}

func (fakeDecoder) Decode(item Item) Decoded {
	value := string(item.Value)
	if id, ok := strings.CutPrefix(item.Key, "server/"); ok {
		if item.Removed {
			return Decoded{ServerID: id}
		}
		if value == "garbage" {
			return Decoded{ServerID: id, Err: errors.New("garbage")}
		}
		return Decoded{ServerID: id, Entry: &directory.Entry{Server: membership.BackendServer{ID: id, Service: "s", State: membership.State(value)}}}
	}
	if zone, ok := strings.CutPrefix(item.Key, "drained/"); ok {
		return Decoded{DrainedZone: zone}
	}
	if item.Key != "table" || item.Removed {
		return Decoded{}
	}
	version, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return Decoded{Err: err}
	}
	return Decoded{Table: routing.NewTable(version, nil, nil, routing.Limits{})}
}

// decodeTime is how long slowDecoder takes to decode an item.
const decodeTime = 20 * time.Millisecond

// slowDecoder simulates an instance with little processor time, which needs a while to
// put a received change in force.
type slowDecoder struct{ fakeDecoder }

func (d slowDecoder) Decode(item Item) Decoded {
	time.Sleep(decodeTime)
	return d.fakeDecoder.Decode(item)
}

// noPeers makes an instance read the store itself.
type noPeers struct{}

func (noPeers) Reader() PeerSource     { return nil }
func (noPeers) Standby(int) PeerSource { return nil }
func (noPeers) Any() PeerSource        { return nil }
func (noPeers) StoreCallers() int      { return 1 }

// onePeer makes an instance follow another one: always or, with onlyAsFallback, only
// while the store fails.
type onePeer struct {
	followed       *Follower
	onlyAsFallback bool
}

func (p onePeer) Reader() PeerSource {
	if p.onlyAsFallback {
		return nil
	}
	return followedPeer(p)
}

func (onePeer) Standby(int) PeerSource { return nil }
func (onePeer) StoreCallers() int      { return 1 }

func (p onePeer) Any() PeerSource { return followedPeer(p) }

// readerWithStandby makes an instance follow a reader and, when that fails, a standby
// reader.
type readerWithStandby struct {
	onePeer
	standby *Follower
}

// largeZone is a zone with many instances that follow the same reader.
type largeZone struct {
	readerWithStandby
	instances int
}

func (z largeZone) StoreCallers() int { return z.instances }

func (d readerWithStandby) Standby(failed int) PeerSource {
	if failed > 0 {
		return nil
	}
	return followedPeer{followed: d.standby}
}

type followedPeer onePeer

func (p followedPeer) ID() string { return "peer" }

func (p followedPeer) Read(context.Context) (Batch, error) {
	b, ok := p.followed.AllItems()
	if !ok {
		return Batch{}, errUnavailable
	}
	return b, nil
}

func (p followedPeer) Watch(ctx context.Context, after Position, wait time.Duration) (Batch, error) {
	return p.followed.ChangesAfter(ctx, after, wait)
}

// startFollower runs a follower of the store until ctx ends.
func startFollower(ctx context.Context, store Store, sources Sources) *Follower {
	f := NewFollower(store, sources, fakeDecoder{}, directory.New(3*time.Second, time.Now), slog.New(slog.DiscardHandler))
	go func() { _ = f.Serve(ctx) }()
	return f
}

// usableServers returns the ids of the usable servers of the test's service.
func usableServers(f *Follower) string {
	var ids []string
	for _, s := range f.directory.Servers("s") {
		ids = append(ids, s.ID)
	}
	return strings.Join(ids, " ")
}

func (p followedPeer) ConfirmTable(ctx context.Context, version int64) (TableReply, error) {
	return p.followed.ConfirmTable(ctx, version), nil
}
