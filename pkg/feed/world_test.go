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

var errDown = errors.New("store is down")

// fakeStore is a store with a history, in the test's own format: the key "table"
// holds a version, keys "server/ID" hold the state of a server.
type fakeStore struct {
	journal *journal

	mu    sync.Mutex
	down  bool
	calls int
	next  int64
}

func newFakeStore() *fakeStore {
	s := &fakeStore{journal: newJournal()}
	s.journal.replace(Batch{})
	return s
}

func (s *fakeStore) write(key, value string) {
	s.mu.Lock()
	s.next++
	item := Item{Key: key, Value: []byte(value), Revision: s.next, Removed: value == ""}
	s.mu.Unlock()
	s.journal.add([]Item{item}, item.Revision)
}

// forget drops the history before now.
func (s *fakeStore) forget() {
	s.journal.mu.Lock()
	defer s.journal.mu.Unlock()
	s.journal.from = s.journal.revision
	s.journal.changes = nil
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) called() (calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) call() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return errDown
	}
	return nil
}

func (s *fakeStore) Read(context.Context) (Batch, error) {
	if err := s.call(); err != nil {
		return Batch{}, err
	}
	b, _ := s.journal.everything()
	return b, nil
}

func (s *fakeStore) ReadTable(ctx context.Context) (Batch, error) {
	b, err := s.Read(ctx)
	return b, err
}

func (s *fakeStore) Watch(ctx context.Context, after int64, wait time.Duration) (Batch, error) {
	if err := s.call(); err != nil {
		return Batch{}, err
	}
	return s.journal.after(ctx, after, wait, nil)
}

// fakeDecoder reads the test's format.
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
	if item.Key != "table" || item.Removed {
		return Decoded{}
	}
	version, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return Decoded{Err: err}
	}
	return Decoded{Table: routing.NewTable(version, nil, nil, routing.Limits{})}
}

// decodeTime is how long slowDecoder takes for an item.
const decodeTime = 20 * time.Millisecond

// slowDecoder stands in for an instance that gets little processor time between
// the arrival of a change and its being in force.
type slowDecoder struct{ fakeDecoder }

func (d slowDecoder) Decode(item Item) Decoded {
	time.Sleep(decodeTime)
	return d.fakeDecoder.Decode(item)
}

// noPeers makes an instance read the store itself.
type noPeers struct{}

func (noPeers) Reader() PeerSource    { return nil }
func (noPeers) Deputy(int) PeerSource { return nil }
func (noPeers) Any() PeerSource       { return nil }

// onePeer makes an instance follow another one, which reads the store for it or,
// when alone is set, is only asked when the store fails.
type onePeer struct {
	followed *Follower
	alone    bool
}

func (p onePeer) Reader() PeerSource {
	if p.alone {
		return nil
	}
	return followedPeer(p)
}

func (onePeer) Deputy(int) PeerSource { return nil }

func (p onePeer) Any() PeerSource { return followedPeer(p) }

// deputised makes an instance follow a reader, and a deputy when that fails.
type deputised struct {
	onePeer
	deputy *Follower
}

func (d deputised) Deputy(failed int) PeerSource {
	if failed > 0 {
		return nil
	}
	return followedPeer{followed: d.deputy}
}

type followedPeer onePeer

func (p followedPeer) ID() string { return "peer" }

func (p followedPeer) Read(context.Context) (Batch, error) {
	b, ok := p.followed.ServeAll()
	if !ok {
		return Batch{}, errDown
	}
	return b, nil
}

func (p followedPeer) Watch(ctx context.Context, after int64, wait time.Duration) (Batch, error) {
	return p.followed.ServeChanges(ctx, after, wait)
}

// start runs a follower of the store until the context ends.
func start(ctx context.Context, store Store, sources Sources) *Follower {
	f := NewFollower(store, sources, fakeDecoder{}, directory.New(3*time.Second, time.Now), slog.New(slog.DiscardHandler))
	go func() { _ = f.Serve(ctx) }()
	return f
}

func servers(f *Follower) string {
	var ids []string
	for _, s := range f.directory.Servers("s") {
		ids = append(ids, s.ID)
	}
	return strings.Join(ids, " ")
}
