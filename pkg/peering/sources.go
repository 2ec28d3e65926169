package peering

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/sycamorelift/sycamorelift/pkg/feed"
	"github.com/sycamorelift/sycamorelift/pkg/peering/peeringpb"
)

// Sources implements feed.Sources: one instance of each availability zone reads
// the store, the others follow it, so that the calls to the store grow with the
// zones and not with the instances.
type Sources struct {
	members *Members
	client  *Client
}

// NewSources returns sources over the members.
func NewSources(members *Members, client *Client) *Sources {
	return &Sources{members: members, client: client}
}

// Reader implements feed.Sources. All instances of the zone rank each other in the same
// way, so that they choose the same reader.
func (s *Sources) Reader() feed.PeerSource {
	self := s.members.Self()
	ranked := append(s.members.Usable(self.Zone), self)
	chosen := slices.MinFunc(ranked, compareReaders)
	if chosen.ID == self.ID {
		return nil
	}
	return s.source(chosen)
}

// deputies is the number of instances of a zone that are followed one after the other
// when its reader fails. A store that turns a third of the instances away serves at
// least one of them mostly, and all of them being silent is found out within 3 s.
const deputies = 2

// smallZone is the number of instances up to which each one reads the store when the
// reader fails: few calls are saved there, and a change that two silent instances hold
// up would be late, by the 3 s of small deployments.
const smallZone = 6

// Deputy implements feed.Sources. The instances that rank next to the reader are its
// deputies.
func (s *Sources) Deputy(failed int) feed.PeerSource {
	self := s.members.Self()
	ranked := append(s.members.Usable(self.Zone), self)
	slices.SortFunc(ranked, compareReaders)
	place := slices.IndexFunc(ranked, func(m Member) bool { return m.ID == self.ID })
	if len(ranked) <= smallZone || failed >= min(deputies, place-1) {
		return nil
	}
	return s.source(ranked[1+failed])
}

// Any implements feed.Sources. The choice is random over all zones: the store may
// turn away some instances, and whom it serves is not known.
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

// compareReaders puts the instances with most processor time first, whose links are wider
// too: a reader sends each change to all others of its zone. Equal ones go by a hash.
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
	return p.ask(ctx, &peeringpb.WatchRequest{Everything: true})
}

func (p *peerSource) Watch(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error) {
	return p.ask(ctx, &peeringpb.WatchRequest{After: after, WaitMs: uint32(wait.Milliseconds())})
}

func (p *peerSource) ask(ctx context.Context, m *peeringpb.WatchRequest) (feed.Batch, error) {
	reply, err := p.client.Watch(ctx, p.member.Address, m)
	p.members.Report(p.member.ID, err == nil)
	if err != nil {
		return feed.Batch{}, eris.Wrapf(err, "watch instance %s", p.member.ID)
	}
	if reply.GetHistoryGone() {
		return feed.Batch{}, feed.ErrHistoryGone
	}
	b := feed.Batch{Revision: reply.GetRevision(), Age: duration(reply.GetAgeMs())}
	for _, item := range reply.GetItems() {
		b.Items = append(b.Items, feed.Item{Key: item.GetKey(), Value: item.GetValue(), Revision: item.GetRevision(), Removed: item.GetRemoved()})
	}
	return b, nil
}

// Feed is what this instance knows of the store.
type Feed interface {
	ServeAll() (feed.Batch, bool)
	ServeChanges(ctx context.Context, after int64, wait time.Duration) (feed.Batch, error)
}

// longestWatch bounds the time for which a watch of another instance is held.
const longestWatch = 10 * time.Second

// serveWatch answers the watch of another instance.
func serveWatch(ctx context.Context, f Feed, m *peeringpb.WatchRequest) (*peeringpb.WatchReply, error) {
	var b feed.Batch
	if m.GetEverything() {
		all, ok := f.ServeAll()
		if !ok {
			return nil, eris.New("this instance has not read the store yet")
		}
		b = all
	} else {
		changes, err := f.ServeChanges(ctx, m.GetAfter(), min(duration(m.GetWaitMs()), longestWatch))
		if eris.Is(err, feed.ErrHistoryGone) {
			return &peeringpb.WatchReply{HistoryGone: true}, nil
		}
		if err != nil {
			return nil, err
		}
		b = changes
	}
	reply := &peeringpb.WatchReply{Revision: b.Revision, AgeMs: millisecondsOf(b.Age)}
	for _, item := range b.Items {
		reply.Items = append(reply.Items, &peeringpb.Item{Key: item.Key, Value: item.Value, Revision: item.Revision, Removed: item.Removed})
	}
	return reply, nil
}
