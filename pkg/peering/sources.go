package peering

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/sycamorelift/sycamorelift/pkg/feed"
	"github.com/sycamorelift/sycamorelift/pkg/peering/peeringpb"
)

// Sources implements feed.Sources: one instance of each availability zone reads the
// store, and the others follow that instance. The number of calls to the store thus
// grows with the number of zones and not with that of instances.
type Sources struct {
	members *Members
	client  *Client
}

// NewSources returns a selection among the members.
func NewSources(members *Members, client *Client) *Sources {
	return &Sources{members: members, client: client}
}

// Reader implements feed.Sources. All instances of the zone rank each other in the same
// way, so they choose the same reader.
func (s *Sources) Reader() feed.PeerSource {
	self := s.members.Self()
	ranked := append(s.members.Usable(self.Zone), self)
	chosen := slices.MinFunc(ranked, compareReaders)
	if chosen.ID == self.ID {
		return nil
	}
	return s.source(chosen)
}

// maxStandbyReaders is the number of standby readers that an instance tries one after
// the other when the zone's reader fails. When the store refuses a third of the
// instances, it mostly still serves one of them. When none of them answers, an instance
// finds that out within 3 s.
const maxStandbyReaders = 2

// maxZoneWithoutStandby is the number of instances of a zone up to which each instance
// reads the store itself when the zone's reader fails. Standby readers would save few
// calls there, and two of them that do not answer would delay a change beyond the 3 s of
// small deployments.
const maxZoneWithoutStandby = 6

// Standby implements feed.Sources. The standby readers are the instances that rank right
// after the reader.
func (s *Sources) Standby(failed int) feed.PeerSource {
	ranked, ownRank := s.ranked()
	if len(ranked) <= maxZoneWithoutStandby || failed >= min(maxStandbyReaders, ownRank-1) {
		return nil
	}
	return s.source(ranked[1+failed])
}

// ranked returns the usable instances of the zone, this one included, in the order in which
// they read the store, and the rank of this instance.
func (s *Sources) ranked() (ranked []Member, ownRank int) {
	self := s.members.Self()
	ranked = append(s.members.Usable(self.Zone), self)
	slices.SortFunc(ranked, compareReaders)
	return ranked, slices.IndexFunc(ranked, func(m Member) bool { return m.ID == self.ID })
}

// StoreCallers implements feed.Sources.
func (s *Sources) StoreCallers() int {
	ranked, ownRank := s.ranked()
	if ownRank <= maxStandbyReaders {
		return 1
	}
	return len(ranked)
}

// Any implements feed.Sources. It chooses at random among the members of all zones,
// since the store may refuse some instances and this one does not know which.
func (s *Sources) Any() feed.PeerSource {
	usable := s.members.Usable("")
	if len(usable) == 0 {
		return nil
	}
	return s.source(usable[rand.IntN(len(usable))])
}

func (s *Sources) source(m Member) feed.PeerSource {
	return &peerSource{members: s.members, client: s.client, member: m}
}

// compareReaders orders the instances by processor time, strongest first. A reader sends
// each change to all others of its zone, and instances with more processor time also
// have faster network links. A hash breaks ties.
func compareReaders(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Millicores, a.Millicores), cmp.Compare(readerHash(a), readerHash(b)))
}

func readerHash(m Member) uint64 { return xxhash.Sum64String("reader/" + m.ID) }

// peerSource implements feed.PeerSource.
type peerSource struct {
	members *Members
	client  *Client
	member  Member
}

func (p *peerSource) ID() string { return p.member.ID }

func (p *peerSource) Read(ctx context.Context) (feed.Batch, error) {
	return p.watch(ctx, &peeringpb.WatchRequest{Everything: true})
}

func (p *peerSource) Watch(ctx context.Context, after feed.Position, wait time.Duration) (feed.Batch, error) {
	return p.watch(ctx, &peeringpb.WatchRequest{After: after.Revision, Era: after.Era, WaitMs: uint32(wait.Milliseconds())})
}

func (p *peerSource) watch(ctx context.Context, m *peeringpb.WatchRequest) (feed.Batch, error) {
	reply, err := p.client.Watch(ctx, p.member.Address, m)
	p.members.RecordCall(p.member.ID, err == nil)
	if err != nil {
		return feed.Batch{}, eris.Wrapf(err, "watch instance %s", p.member.ID)
	}
	if reply.GetHistoryGone() {
		return feed.Batch{}, &feed.HistoryGoneError{Era: max(reply.GetEra(), 0)}
	}
	b := feed.Batch{
		Position: position(reply.GetEra(), reply.GetRevision()),
		Age:      fromMilliseconds(reply.GetAgeMs()),
		Restored: restoreFromProto(reply.GetRestore()),
	}
	for _, item := range reply.GetItems() {
		b.Items = append(b.Items, itemFromProto(item))
	}
	return b, nil
}

func (p *peerSource) ConfirmTable(ctx context.Context, version int64) (feed.TableReply, error) {
	reply, err := p.client.ConfirmTable(ctx, p.member.Address, &peeringpb.ConfirmTableRequest{Version: version})
	if err != nil {
		// The instance may wait for a slow store, so that a failure says nothing about it.
		return feed.TableReply{}, eris.Wrapf(err, "confirm table with instance %s", p.member.ID)
	}
	confirmed := feed.TableReply{Version: reply.GetVersion(), Era: max(reply.GetEra(), 0), Age: fromMilliseconds(reply.GetAgeMs())}
	if reply.GetItem() != nil {
		item := itemFromProto(reply.GetItem())
		confirmed.Item = &item
	}
	return confirmed, nil
}

// position takes an era that is out of range for unknown.
func position(era, revision int64) feed.Position {
	return feed.Position{Era: max(era, 0), Revision: revision}
}

func itemFromProto(m *peeringpb.Item) feed.Item {
	item := feed.Item{Key: m.GetKey(), Value: m.GetValue(), Revision: m.GetRevision(), Removed: m.GetRemoved()}
	if m.GetMaxAgeMs() > 0 {
		item.WrittenAfter = time.Now().Add(-fromMilliseconds(m.GetMaxAgeMs()))
	}
	return item
}

func itemToProto(item feed.Item) *peeringpb.Item {
	m := &peeringpb.Item{Key: item.Key, Value: item.Value, Revision: item.Revision, Removed: item.Removed}
	if !item.WrittenAfter.IsZero() {
		// Rounded up: the receiver must not take the item for newer than it may be.
		m.MaxAgeMs = toMilliseconds(time.Since(item.WrittenAfter) + time.Millisecond)
	}
	return m
}

func restoreFromProto(m *peeringpb.Restore) *feed.RestoreState {
	if m == nil {
		return nil
	}
	state := &feed.RestoreState{Ago: fromMilliseconds(m.GetAgoMs()), EraBefore: max(m.GetEraBefore(), 0), FreshFrom: m.GetFreshFrom()}
	for _, item := range m.GetEarlier() {
		state.Earlier = append(state.Earlier, itemFromProto(item))
	}
	if m.GetTable() != nil {
		table := itemFromProto(m.GetTable())
		state.Table = &table
	}
	return state
}

func restoreToProto(state *feed.RestoreState) *peeringpb.Restore {
	if state == nil {
		return nil
	}
	m := &peeringpb.Restore{AgoMs: toMilliseconds(state.Ago), EraBefore: state.EraBefore, FreshFrom: state.FreshFrom}
	for _, item := range state.Earlier {
		m.Earlier = append(m.Earlier, itemToProto(item))
	}
	if state.Table != nil {
		m.Table = itemToProto(*state.Table)
	}
	return m
}

// StoreView is what this instance knows of the store.
type StoreView interface {
	AllItems() (feed.Batch, bool)
	ChangesAfter(ctx context.Context, after feed.Position, wait time.Duration) (feed.Batch, error)
	ConfirmTable(ctx context.Context, version int64) feed.TableReply
}

// maxWatchWait bounds how long this instance holds a watch of another instance.
const maxWatchWait = 10 * time.Second

// serveWatch answers the watch of another instance.
func serveWatch(ctx context.Context, f StoreView, m *peeringpb.WatchRequest) (*peeringpb.WatchReply, error) {
	var b feed.Batch
	if m.GetEverything() {
		all, ok := f.AllItems()
		if !ok {
			return nil, feed.ErrNoView
		}
		b = all
	} else {
		changes, err := f.ChangesAfter(ctx, position(m.GetEra(), m.GetAfter()), min(fromMilliseconds(m.GetWaitMs()), maxWatchWait))
		if errors.Is(err, feed.ErrHistoryGone) {
			reply := &peeringpb.WatchReply{HistoryGone: true}
			if gone := (*feed.HistoryGoneError)(nil); errors.As(err, &gone) {
				reply.Era = gone.Era
			}
			return reply, nil
		}
		if err != nil {
			return nil, err
		}
		b = changes
	}
	reply := &peeringpb.WatchReply{
		Era: b.Position.Era, Revision: b.Position.Revision, AgeMs: toMilliseconds(b.Age), Restore: restoreToProto(b.Restored),
	}
	for _, item := range b.Items {
		reply.Items = append(reply.Items, itemToProto(item))
	}
	return reply, nil
}

// serveConfirmTable confirms the table to another instance.
func serveConfirmTable(ctx context.Context, f StoreView, m *peeringpb.ConfirmTableRequest) *peeringpb.ConfirmTableReply {
	confirmed := f.ConfirmTable(ctx, m.GetVersion())
	// Rounded up: the receiver must not take the table for more recently confirmed than it is.
	reply := &peeringpb.ConfirmTableReply{Version: confirmed.Version, Era: confirmed.Era, AgeMs: toMilliseconds(confirmed.Age + time.Millisecond)}
	if confirmed.Item != nil {
		reply.Item = itemToProto(*confirmed.Item)
	}
	return reply
}
