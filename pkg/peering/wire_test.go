package peering

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/feed"
	"github.com/sycamorelift/sycamorelift/pkg/forward"
	"github.com/sycamorelift/sycamorelift/pkg/peering/peeringpb"
	"github.com/sycamorelift/sycamorelift/pkg/suspects"
)

// stubFeed serves one batch, or an error.
type stubFeed struct {
	batch feed.Batch
	err   error
}

func (s stubFeed) AllItems() (feed.Batch, bool) { return s.batch, s.err == nil }

func (s stubFeed) ChangesAfter(context.Context, feed.Position, time.Duration) (feed.Batch, error) {
	return s.batch, s.err
}

func (s stubFeed) ConfirmTable(_ context.Context, version int64) feed.TableReply {
	reply := feed.TableReply{Era: s.batch.Position.Era, Version: s.batch.Position.Revision, Age: s.batch.Age}
	if len(s.batch.Items) > 0 && version < reply.Version {
		reply.Item = &s.batch.Items[0]
	}
	return reply
}

// stubGatherer records the call and emits the given results.
type stubGatherer struct {
	call           *forward.PartsCall
	results        []*forward.PartsResult
	blockUntilDone bool
}

func (s *stubGatherer) Gather(ctx context.Context, call *forward.PartsCall, emit func(*forward.PartsResult)) bool {
	s.call = call
	for _, result := range s.results {
		emit(result)
	}
	if s.blockUntilDone {
		<-ctx.Done()
		return false
	}
	return true
}

// peerFixture is a calling instance and the address of the instance that it calls.
type peerFixture struct {
	members *Members // known to the calling instance
	client  *Client
	address string
}

// servePeer serves an instance on the loopback interface and returns a caller of it.
func servePeer(t *testing.T, f StoreView, g Gatherer) peerFixture {
	quiet := slog.New(slog.DiscardHandler)
	served := NewMembers(memberIn("served", "z2"), time.Now, quiet)
	served.Merge(memberIn("third", "z3"), time.Second)
	client := NewClient()
	exchanger := wiredExchanger(served, client, func() []string { return nil })
	server := httptest.NewServer(NewServer(exchanger, f, g, quiet))
	t.Cleanup(server.Close)
	members := NewMembers(memberIn("self", "z1"), time.Now, quiet)
	address := server.Listener.Addr().(*net.TCPAddr).String()
	members.Merge(Member{ID: "served", Zone: "z2", Address: address, Incarnation: 1}, 0)
	return peerFixture{members: members, client: NewClient(), address: address}
}

func wiredExchanger(members *Members, client *Client, seeds func() []string) *Exchanger {
	relays := NewRelays(members, client)
	reporter := NewSuspectReporter(members, client, relays, suspects.NewTracker(func(suspects.Change) {}))
	return NewExchanger(members, client, relays, reporter, seeds)
}

func partsCallOf(services ...string) *forward.PartsCall {
	return &forward.PartsCall{
		Request: &forward.Request{ID: "id", Method: "GET", Target: "/a/2f?q=1", Host: "h.example",
			Header: http.Header{"Accept": {"*/*"}, "X-Twice": {"1", "2"}}, Body: []byte("body")},
		Route:           "r",
		Services:        services,
		MaxConnections:  []int{26, 54},
		Zones:           []string{"z1", "z2"},
		Top:             10,
		MaxAttempts:     2,
		Target:          150 * time.Millisecond,
		Cutoff:          time.Now().Add(100 * time.Millisecond),
		Deadline:        time.Now().Add(time.Second),
		MaxMissingShare: 0.25,
		Merge:           true,
		SameZone:        true,
	}
}

// Guards against requests and parts that are altered on their way between instances, or cannot be
// encoded because they are not UTF-8: a sound relay then counted as one that has failed.
func TestPartsTravelUnchanged(t *testing.T) {
	g := &stubGatherer{results: []*forward.PartsResult{
		{Parts: []forward.Part{{Index: 1, Proof: "p1"}}, Body: []byte("merged")},
		{Final: true, Parts: []forward.Part{{Index: 0, Proof: "p0\xff", Body: []byte("own")}}, Attempts: 3, Hedges: 1, Retries: 2,
			Lost: []forward.LostPart{{Index: 1, Arrivals: 2, MayRun: true, Event: "e"}}},
	}}
	p := servePeer(t, stubFeed{}, g)
	call := partsCallOf("s0", "s1")
	call.Request.ID, call.Request.Target = "id\xe9", "/a/caf\xe9"
	call.Request.Header["X-Name"] = []string{"caf\xe9"}
	accepted := 0
	var got []*forward.PartsResult
	relay := NewRelays(p.members, p.client).Pick("z2")
	err := relay.Gather(context.Background(), call, func() { accepted++ }, func(r *forward.PartsResult) { got = append(got, r) })
	assert.NilError(t, err)
	assert.Equal(t, accepted, 1)
	assert.DeepEqual(t, got, g.results)
	for _, same := range []struct{ sent, received any }{
		{call.Request.ID, g.call.Request.ID}, {call.Request.Header, g.call.Request.Header}, {call.Request.Target, g.call.Request.Target},
		{call.Request.Body, g.call.Request.Body}, {call.Request.Host, g.call.Request.Host},
		{call.Services, g.call.Services}, {call.MaxConnections, g.call.MaxConnections}, {call.Zones, g.call.Zones},
		{call.Top, g.call.Top}, {call.MaxAttempts, g.call.MaxAttempts}, {call.Target, g.call.Target}, {call.Merge, g.call.Merge}, {call.MaxMissingShare, g.call.MaxMissingShare}, {call.SameZone, g.call.SameZone},
	} {
		assert.DeepEqual(t, same.received, same.sent)
	}
	deadlineShift := g.call.Deadline.Sub(call.Deadline)
	assert.Assert(t, deadlineShift < 500*time.Millisecond, "the receiver has %v more", deadlineShift)
}

// Guards against parts that are gathered further after the caller has left.
func TestAbandonedPartsAreCancelled(t *testing.T) {
	g := &stubGatherer{blockUntilDone: true}
	p := servePeer(t, stubFeed{}, g)
	ctx, cancel := context.WithCancel(context.Background())
	relay := NewRelays(p.members, p.client).Pick("z2")
	err := relay.Gather(ctx, partsCallOf("s0"), cancel, func(*forward.PartsResult) {})
	assert.Assert(t, err != nil)
}

// An instance ends, or its connection does, between two results or within one. Guards against
// taking the parts that have arrived for all of them.
func TestReplyThatBreaksOffIsNoFinalResult(t *testing.T) {
	g := &stubGatherer{results: []*forward.PartsResult{
		{Parts: []forward.Part{{Index: 0, Proof: "p0", Body: []byte("own")}}},
		{Final: true, Parts: []forward.Part{{Index: 1, Proof: "p1"}}},
	}}
	whole := servePeer(t, stubFeed{}, g)
	response, err := http.Post("http://"+whole.address+partsPath, "", bytes.NewReader(nil))
	assert.NilError(t, err)
	defer response.Body.Close()
	stream, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	firstFrame := 1 + int(stream[0]) // a frame starts with its length
	for name, length := range map[string]int{"before the first result": 0, "between results": firstFrame, "within a result": firstFrame + 2} {
		for _, cleanEnd := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", clean end ", cleanEnd), func(t *testing.T) {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.WriteHeader(http.StatusOK)
					_, _ = w.Write(stream[:length])
					_ = http.NewResponseController(w).Flush()
					if !cleanEnd {
						panic(http.ErrAbortHandler)
					}
				}))
				defer server.Close()
				final := false
				err := NewClient().Parts(context.Background(), server.Listener.Addr().String(), &peeringpb.PartsRequest{}, func() {},
					func(reply *peeringpb.PartsReply) { final = final || reply.GetFinal() })
				assert.Assert(t, err != nil)
				assert.Assert(t, !final)
			})
		}
	}
}

// Guards against treating an unreachable instance as one that works on the call.
func TestUnreachableRelayFails(t *testing.T) {
	members := NewMembers(memberIn("self", "z1"), time.Now, slog.New(slog.DiscardHandler))
	members.Merge(Member{ID: "gone", Zone: "z2", Address: "127.0.0.1:1", Incarnation: 1}, 0)
	relay := NewRelays(members, NewClient()).Pick("z2")
	err := relay.Gather(context.Background(), partsCallOf("s0"), func() { t.Error("accepted") }, func(*forward.PartsResult) {})
	var call *forward.CallError
	assert.Assert(t, errors.As(err, &call) && !call.Sent)
}

// Guards against items of the store that are altered on their way through a reader.
func TestItemsTravelUnchanged(t *testing.T) {
	held := feed.Item{Key: "held", Value: []byte{1}, Revision: 12}
	batch := feed.Batch{Position: feed.Position{Era: 2, Revision: 9}, Age: 40 * time.Millisecond, Items: []feed.Item{
		{Key: "k", Value: []byte{0, 255}, Revision: 8}, {Key: "gone", Revision: 9, Removed: true}},
		Restored: &feed.RestoreState{Ago: time.Second, EraBefore: 1, FreshFrom: 8, Earlier: []feed.Item{held}, Table: &held}}
	p := servePeer(t, stubFeed{batch: batch}, &stubGatherer{})
	source := &peerSource{members: p.members, client: p.client, member: Member{ID: "served", Address: p.address}}
	got, err := source.Watch(context.Background(), feed.Position{Era: 1, Revision: 7}, time.Second)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, batch)
	got, err = source.Read(context.Background())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, batch)
}

// Guards against a table that is altered on its way, and against an age that shrinks: the
// receiver would take the table for more recently confirmed than it is.
func TestTableConfirmationTravelsUnchanged(t *testing.T) {
	table := feed.Item{Key: "table", Value: []byte{0, 255}, Revision: 8}
	batch := feed.Batch{Position: feed.Position{Era: 2, Revision: 9}, Age: 40*time.Millisecond + time.Microsecond, Items: []feed.Item{table}}
	p := servePeer(t, stubFeed{batch: batch}, &stubGatherer{})
	source := &peerSource{members: p.members, client: p.client, member: Member{ID: "served", Address: p.address}}
	got, err := source.ConfirmTable(context.Background(), 8)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, feed.TableReply{Era: 2, Version: 9, Item: &table, Age: 41 * time.Millisecond})
	got, err = source.ConfirmTable(context.Background(), 9)
	assert.NilError(t, err)
	assert.Assert(t, got.Item == nil)
}

// Guards against taking a reader that waits for a slow store for one that does not answer: it
// would lose its part as a relay, and the zone would change its reader.
func TestReaderOfASlowStoreIsNotSuspected(t *testing.T) {
	p := servePeer(t, slowFeed{}, &stubGatherer{})
	source := &peerSource{members: p.members, client: p.client, member: Member{ID: "served", Address: p.address}}
	for range 2 * suspectAfterFailures {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
		_, err := source.ConfirmTable(ctx, 8)
		cancel()
		assert.Assert(t, err != nil)
	}
	assert.DeepEqual(t, usableIDs(p.members, "z2"), []string{"served"})
}

// slowFeed follows a store that does not answer in time.
type slowFeed struct{ stubFeed }

func (slowFeed) ConfirmTable(ctx context.Context, _ int64) feed.TableReply {
	<-ctx.Done()
	return feed.TableReply{}
}

// Guards against taking the reply of a reader without the history, or without any items
// yet, for a reply without changes.
func TestReaderWithoutHistory(t *testing.T) {
	p := servePeer(t, stubFeed{err: &feed.HistoryGoneError{Era: 3}}, &stubGatherer{})
	source := &peerSource{members: p.members, client: p.client, member: Member{ID: "served", Address: p.address}}
	_, err := source.Watch(context.Background(), feed.Position{Era: 1, Revision: 7}, time.Second)
	assert.Assert(t, errors.Is(err, feed.ErrHistoryGone))
	var gone *feed.HistoryGoneError
	assert.Assert(t, errors.As(err, &gone) && gone.Era == 3)
	_, err = source.Read(context.Background())
	assert.Assert(t, err != nil)
}

// Guards against instances that do not get to know each other through a third one.
func TestExchangeSpreadsMembers(t *testing.T) {
	p := servePeer(t, stubFeed{}, &stubGatherer{})
	exchanger := wiredExchanger(p.members, p.client, func() []string { return []string{p.address} })
	exchanger.exchange(context.Background(), Member{Address: p.address}, exchanger.digestMessage())
	assert.DeepEqual(t, usableIDs(p.members, "z3"), []string{"third"})
	reply, err := p.client.Exchange(context.Background(), p.address, &peeringpb.ExchangeMessage{Sender: memberIn("self", "z1").toProto(0), Brief: true})
	assert.NilError(t, err)
	assert.Equal(t, len(reply.GetMembers()), 0)
}
