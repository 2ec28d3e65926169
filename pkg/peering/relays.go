package peering

import (
	"cmp"
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamorelift/sycamorelift/pkg/forward"
	"github.com/sycamorelift/sycamorelift/pkg/peering/peeringpb"
)

// Relays implements forward.Relays: it selects members that gather parts for this
// instance.
type Relays struct {
	members *Members
	client  *Client

	mu       sync.Mutex
	inFlight map[string]int // calls in flight by member id
	ranking  *ranking       // for the most recent view; nil before the first
}

// NewRelays returns a selection among the members.
func NewRelays(members *Members, client *Client) *Relays {
	return &Relays{members: members, client: client, inFlight: make(map[string]int)}
}

// relaysPerZone is the number of members of another zone that this instance uses as
// relays. The number is low so that the connections stay warm: a new connection costs
// two round trips between zones.
const relaysPerZone = 2

// strongerFactor is how many times this instance's processor time another instance of
// the zone must have to be given this zone's shards. A weak instance takes so long to
// call all shards itself that the additional hop saves time.
const strongerFactor = 1.5

// ranking holds the relays that this instance has selected for one view of the members.
type ranking struct {
	view     *view
	stronger []Member            // relays of this zone with much more processor time
	byZone   map[string][]Member // relays by availability zone
}

// currentRanking returns the ranking for the members that are usable now. Requests ask
// for it for each shard, so it is cached for as long as the view is valid.
func (r *Relays) currentRanking() *ranking {
	v, self := r.members.view()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ranking != nil && r.ranking.view == v {
		return r.ranking
	}
	next := &ranking{view: v, byZone: make(map[string][]Member)}
	for zone, usable := range v.usable {
		if zone != "" {
			next.byZone[zone] = topRanked(self.ID, strongest(usable))
		}
	}
	next.stronger = topRanked(self.ID, slices.DeleteFunc(slices.Clone(v.usable[self.Zone]), func(m Member) bool {
		return !muchStronger(m, self)
	}))
	r.ranking = next
	return next
}

// Stronger implements forward.Relays.
func (r *Relays) Stronger() forward.Relay { return r.leastBusy(r.currentRanking().stronger) }

// Pick implements forward.Relays. It returns the relay of the zone with the fewest calls
// in flight from this instance, or nil.
func (r *Relays) Pick(zone string) forward.Relay { return r.leastBusy(r.preferred(zone)) }

func (r *Relays) leastBusy(candidates []Member) forward.Relay {
	if len(candidates) == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	chosen := candidates[0]
	for _, m := range candidates[1:] {
		if r.inFlight[m.ID] < r.inFlight[chosen.ID] {
			chosen = m
		}
	}
	return &relay{relays: r, member: chosen}
}

// preferred returns this instance's relays in the zone. Each instance ranks the members
// differently, so that the load spreads over them.
func (r *Relays) preferred(zone string) []Member { return r.currentRanking().byZone[zone] }

// topRanked returns the members with the highest weight for the instance with the id
// self.
func topRanked(self string, members []Member) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return cmp.Compare(relayWeight(self, b), relayWeight(self, a)) })
	return sorted[:min(relaysPerZone, len(sorted))]
}

// strongest returns the members to which no other one is much stronger. A weak relay takes so long
// to call the servers of all shards that urgent answers miss its parts.
func strongest(members []Member) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool {
		return slices.ContainsFunc(members, func(other Member) bool { return muchStronger(other, m) })
	})
}

func muchStronger(member, than Member) bool {
	return member.Millicores > than.Millicores && float64(member.Millicores) >= strongerFactor*float64(than.Millicores)
}

// inOtherZones returns the relays of all other zones.
func (r *Relays) inOtherZones() []Member {
	self := r.members.Self().Zone
	var relaysElsewhere []Member
	for zone, relays := range r.currentRanking().byZone {
		if zone != self {
			relaysElsewhere = append(relaysElsewhere, relays...)
		}
	}
	return relaysElsewhere
}

// relayWeight returns the weight of a member for this instance. With weighted rendezvous
// hashing, members get work in proportion to their processor time.
func relayWeight(self string, m Member) float64 {
	// uniform is the hash as a number between 0 and 1, both excluded.
	uniform := (float64(xxhash.Sum64String(self+"/"+m.ID)>>11) + 0.5) / (1 << 53)
	return -float64(max(m.Millicores, 1)) / math.Log(uniform)
}

func (r *Relays) addInFlight(id string, change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight[id] += change
	if r.inFlight[id] <= 0 {
		delete(r.inFlight, id)
	}
}

// relay implements forward.Relay.
type relay struct {
	relays *Relays
	member Member
}

func (r *relay) ID() string { return r.member.ID }

func (r *relay) Stronger() bool { return muchStronger(r.member, r.relays.members.Self()) }

func (r *relay) Answers() bool { return r.relays.members.failures(r.member.ID) == 0 }

func (r *relay) Failed() { r.relays.members.RecordCall(r.member.ID, false) }

func (r *relay) Gather(ctx context.Context, call *forward.PartsCall, accepted func(), receive func(*forward.PartsResult)) error {
	r.relays.addInFlight(r.member.ID, 1)
	defer r.relays.addInFlight(r.member.ID, -1)
	ctx, elapsed := timed(ctx)
	onAccepted := func() {
		r.relays.members.trips.Record(r.member.Zone, elapsed())
		r.relays.members.RecordCall(r.member.ID, true)
		accepted()
	}
	err := r.relays.client.Parts(ctx, r.member.Address, partsRequest(call, time.Now()), onAccepted, func(reply *peeringpb.PartsReply) {
		receive(partsResult(reply))
	})
	if err != nil && ctx.Err() == nil {
		r.Failed()
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return &forward.CallError{Detail: "instance cannot be reached", Cause: err}
	}
	return err
}

func partsRequest(call *forward.PartsCall, now time.Time) *peeringpb.PartsRequest {
	request := call.Request
	m := &peeringpb.PartsRequest{
		RequestId:    []byte(request.ID),
		Method:       request.Method,
		Target:       []byte(request.Target),
		Host:         request.Host,
		Body:         request.Body,
		Services:     call.Services,
		Route:        call.Route,
		Top:          uint32(call.Top),
		MaxAttempts:  uint32(call.MaxAttempts),
		TargetMs:     toMilliseconds(call.Target),
		CutoffMs:     toMilliseconds(call.Cutoff.Sub(now)),
		DeadlineMs:   toMilliseconds(call.Deadline.Sub(now)),
		HedgeAfterMs: toMilliseconds(call.HedgeAfter),
		Priority:     int32(call.Priority),
		Missable:     float32(call.MaxMissingShare),
		Extra:        call.ChargedBySender,
		Merge:        call.Merge,
		SameZone:     call.SameZone,
		Zones:        call.Zones,
	}
	for name, values := range request.Header {
		for _, value := range values {
			m.Header = append(m.Header, &peeringpb.HeaderField{Name: name, Value: []byte(value)})
		}
	}
	for _, n := range call.MaxConnections {
		m.Connections = append(m.Connections, uint32(max(n, 0)))
	}
	return m
}

func partsCall(m *peeringpb.PartsRequest, now time.Time) *forward.PartsCall {
	header := make(http.Header, len(m.GetHeader()))
	for _, field := range m.GetHeader() {
		header[field.GetName()] = append(header[field.GetName()], string(field.GetValue()))
	}
	deadline := now.Add(fromMilliseconds(m.GetDeadlineMs()))
	call := &forward.PartsCall{
		Request: &forward.Request{
			ID:       string(m.GetRequestId()),
			Method:   m.GetMethod(),
			Target:   string(m.GetTarget()),
			Host:     m.GetHost(),
			Header:   header,
			Body:     m.GetBody(),
			Arrived:  now,
			Deadline: deadline,
		},
		Route:           m.GetRoute(),
		Services:        m.GetServices(),
		Top:             bounded(m.GetTop(), maxTop),
		MaxAttempts:     bounded(m.GetMaxAttempts(), maxAttempts),
		Priority:        int(m.GetPriority()),
		MaxMissingShare: shareOf(m.GetMissable()),
		Target:          fromMilliseconds(m.GetTargetMs()),
		Cutoff:          now.Add(fromMilliseconds(m.GetCutoffMs())),
		Deadline:        deadline,
		HedgeAfter:      fromMilliseconds(m.GetHedgeAfterMs()),
		ChargedBySender: m.GetExtra(),
		Merge:           m.GetMerge(),
		SameZone:        m.GetSameZone(),
		Zones:           m.GetZones(),
	}
	for _, n := range m.GetConnections() {
		call.MaxConnections = append(call.MaxConnections, bounded(n, maxConnections))
	}
	return call
}

func partsReply(result *forward.PartsResult) *peeringpb.PartsReply {
	m := &peeringpb.PartsReply{
		Final:    result.Final,
		Body:     result.Body,
		Attempts: uint32(result.Attempts),
		Hedges:   uint32(result.Hedges),
		Retries:  uint32(result.Retries),
	}
	for _, p := range result.Parts {
		m.Parts = append(m.Parts, &peeringpb.Part{Index: uint32(p.Index), Proof: []byte(p.Proof), Body: p.Body})
	}
	for _, l := range result.Lost {
		m.Lost = append(m.Lost, &peeringpb.Lost{Index: uint32(l.Index), Arrivals: uint32(max(l.Arrivals, 0)), MayRun: l.MayRun, Again: l.ExpiredServers, Event: strings.ToValidUTF8(l.Event, "?")})
	}
	if result.Suspect != nil {
		m.Suspect = suspectToProto(*result.Suspect, time.Now())
	}
	return m
}

func partsResult(m *peeringpb.PartsReply) *forward.PartsResult {
	result := &forward.PartsResult{
		Final:    m.GetFinal(),
		Body:     m.GetBody(),
		Attempts: bounded(m.GetAttempts(), math.MaxInt32),
		Hedges:   bounded(m.GetHedges(), math.MaxInt32),
		Retries:  bounded(m.GetRetries(), math.MaxInt32),
	}
	for _, p := range m.GetParts() {
		result.Parts = append(result.Parts, forward.Part{Index: bounded(p.GetIndex(), math.MaxInt32), Proof: string(p.GetProof()), Body: p.GetBody()})
	}
	for _, l := range m.GetLost() {
		result.Lost = append(result.Lost, forward.LostPart{
			Index: bounded(l.GetIndex(), math.MaxInt32), Arrivals: bounded(l.GetArrivals(), maxAttempts), MayRun: l.GetMayRun(), ExpiredServers: l.GetAgain(), Event: l.GetEvent(),
		})
	}
	if m.GetSuspect() != nil {
		s := suspectFromProto(m.GetSuspect(), time.Now())
		result.Suspect = &s
	}
	return result
}

// toMilliseconds returns 0 for a negative time and the largest uint32, 49 days, for a longer one.
func toMilliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

func fromMilliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
