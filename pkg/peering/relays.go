package peering

import (
	"cmp"
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamorelift/sycamorelift/pkg/forward"
	"github.com/sycamorelift/sycamorelift/pkg/peering/peeringpb"
)

// Relays implements forward.Relays with the known members.
type Relays struct {
	members *Members
	client  *Client

	mu      sync.Mutex
	running map[string]int // calls in progress by member id
	ranking *ranking       // of the last view
}

// NewRelays returns relays over the members.
func NewRelays(members *Members, client *Client) *Relays {
	return &Relays{members: members, client: client, running: make(map[string]int)}
}

// relaysPerZone is the number of members of another zone that this instance works
// with. Few of them keep the connections warm: a new one costs two round trips
// between zones.
const relaysPerZone = 2

// strongerBy is how much more processor time an instance has that is given the
// shards of this zone. Asking all of them takes a weak instance so long that the
// detour pays.
const strongerBy = 1.5

// ranking holds the relays of this instance for one view of the members.
type ranking struct {
	of       *view
	stronger []Member            // of this zone, with much more processor time
	zones    map[string][]Member // that rank first, by availability zone
}

// ranked returns the ranking for the members that are usable now. Requests ask for it
// for each shard, so that it is kept while the view holds.
func (r *Relays) ranked() *ranking {
	v, self := r.members.view()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ranking != nil && r.ranking.of == v {
		return r.ranking
	}
	next := &ranking{of: v, zones: make(map[string][]Member)}
	for zone, usable := range v.usable {
		if zone != "" {
			next.zones[zone] = first(self.ID, usable)
		}
	}
	next.stronger = first(self.ID, slices.DeleteFunc(slices.Clone(v.usable[self.Zone]), func(m Member) bool {
		return float64(m.Millicores) < strongerBy*float64(self.Millicores)
	}))
	r.ranking = next
	return next
}

// Stronger implements forward.Relays.
func (r *Relays) Stronger() forward.Relay { return r.lessBusy(r.ranked().stronger) }

// Pick returns the less busy of this instance's relays in the zone.
func (r *Relays) Pick(zone string) forward.Relay { return r.lessBusy(r.preferred(zone)) }

func (r *Relays) lessBusy(candidates []Member) forward.Relay {
	if len(candidates) == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	chosen := candidates[0]
	for _, m := range candidates[1:] {
		if r.running[m.ID] < r.running[chosen.ID] {
			chosen = m
		}
	}
	return &relay{relays: r, member: chosen}
}

// preferred returns the usable members of the zone that rank first for this
// instance, so that the instances spread over them.
func (r *Relays) preferred(zone string) []Member { return r.ranked().zones[zone] }

// first returns the members that rank first for the instance with the id.
func first(self string, members []Member) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return cmp.Compare(relayRank(self, b), relayRank(self, a)) })
	return sorted[:min(relaysPerZone, len(sorted))]
}

// all returns the relays of all other zones.
func (r *Relays) all() []Member {
	self := r.members.Self().Zone
	var out []Member
	for zone, relays := range r.ranked().zones {
		if zone != self {
			out = append(out, relays...)
		}
	}
	return out
}

// relayRank is the weight of a member for this instance by weighted rendezvous
// hashing: members get work in proportion to their processor time.
func relayRank(self string, m Member) float64 {
	// The hash as a number between 0 and 1, both excluded.
	uniform := (float64(xxhash.Sum64String(self+"/"+m.ID)>>11) + 0.5) / (1 << 53)
	return -float64(max(m.Millicores, 1)) / math.Log(uniform)
}

func (r *Relays) count(id string, change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[id] += change
	if r.running[id] <= 0 {
		delete(r.running, id)
	}
}

// relay implements forward.Relay.
type relay struct {
	relays *Relays
	member Member
}

func (r *relay) ID() string { return r.member.ID }

func (r *relay) Failed() { r.relays.members.Report(r.member.ID, false) }

func (r *relay) Gather(ctx context.Context, call *forward.PartsCall, accepted func(), receive func(*forward.PartsResult)) error {
	r.relays.count(r.member.ID, 1)
	defer r.relays.count(r.member.ID, -1)
	working := func() {
		r.relays.members.Report(r.member.ID, true)
		accepted()
	}
	err := r.relays.client.Parts(ctx, r.member.Address, partsRequest(call, time.Now()), working, func(reply *peeringpb.PartsReply) {
		receive(partsResult(reply))
	})
	if err != nil && ctx.Err() == nil {
		r.Failed()
	}
	var dialling *net.OpError
	if errors.As(err, &dialling) && dialling.Op == "dial" {
		return &forward.CallError{Detail: "instance cannot be reached", Cause: err}
	}
	return err
}

func partsRequest(call *forward.PartsCall, now time.Time) *peeringpb.PartsRequest {
	request := call.Request
	m := &peeringpb.PartsRequest{
		RequestId:    request.ID,
		Method:       request.Method,
		Target:       request.Target,
		Host:         request.Host,
		Body:         request.Body,
		Services:     call.Services,
		Route:        call.Route,
		Top:          uint32(call.Top),
		MaxAttempts:  uint32(call.MaxAttempts),
		TargetMs:     millisecondsOf(call.Target),
		CutoffMs:     millisecondsOf(call.Cutoff.Sub(now)),
		DeadlineMs:   millisecondsOf(call.Deadline.Sub(now)),
		HedgeAfterMs: millisecondsOf(call.HedgeAfter),
		Priority:     int32(call.Priority),
		Missable:     float32(call.MaxMissingShare),
		Extra:        call.ChargedBySender,
		Merge:        call.Merge,
	}
	for name, values := range request.Header {
		for _, value := range values {
			m.Header = append(m.Header, &peeringpb.HeaderField{Name: name, Value: value})
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
		header[field.GetName()] = append(header[field.GetName()], field.GetValue())
	}
	deadline := now.Add(duration(m.GetDeadlineMs()))
	call := &forward.PartsCall{
		Request: &forward.Request{
			ID:       m.GetRequestId(),
			Method:   m.GetMethod(),
			Target:   m.GetTarget(),
			Host:     m.GetHost(),
			Header:   header,
			Body:     m.GetBody(),
			Arrived:  now,
			Deadline: deadline,
		},
		Route:           m.GetRoute(),
		Services:        m.GetServices(),
		Top:             int(m.GetTop()),
		MaxAttempts:     int(m.GetMaxAttempts()),
		Priority:        int(m.GetPriority()),
		MaxMissingShare: float64(m.GetMissable()),
		Target:          duration(m.GetTargetMs()),
		Cutoff:          now.Add(duration(m.GetCutoffMs())),
		Deadline:        deadline,
		HedgeAfter:      duration(m.GetHedgeAfterMs()),
		ChargedBySender: m.GetExtra(),
		Merge:           m.GetMerge(),
	}
	for _, n := range m.GetConnections() {
		call.MaxConnections = append(call.MaxConnections, int(n))
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
		m.Parts = append(m.Parts, &peeringpb.Part{Index: uint32(p.Index), Proof: p.Proof, Body: p.Body})
	}
	for _, l := range result.Lost {
		m.Lost = append(m.Lost, &peeringpb.Lost{Index: uint32(l.Index), Arrivals: uint32(max(l.Arrivals, 0)), MayRun: l.MayRun, Again: l.ExpiredServers, Event: l.Event})
	}
	return m
}

func partsResult(m *peeringpb.PartsReply) *forward.PartsResult {
	result := &forward.PartsResult{
		Final:    m.GetFinal(),
		Body:     m.GetBody(),
		Attempts: int(m.GetAttempts()),
		Hedges:   int(m.GetHedges()),
		Retries:  int(m.GetRetries()),
	}
	for _, p := range m.GetParts() {
		result.Parts = append(result.Parts, forward.Part{Index: int(p.GetIndex()), Proof: p.GetProof(), Body: p.GetBody()})
	}
	for _, l := range m.GetLost() {
		result.Lost = append(result.Lost, forward.LostPart{
			Index: int(l.GetIndex()), Arrivals: int(l.GetArrivals()), MayRun: l.GetMayRun(), ExpiredServers: l.GetAgain(), Event: l.GetEvent(),
		})
	}
	return result
}

func millisecondsOf(d time.Duration) uint32 { return uint32(max(d.Milliseconds(), 0)) }

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
