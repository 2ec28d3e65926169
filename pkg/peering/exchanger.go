package peering

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/peering/peeringpb"
)

const (
	// exchangeInterval is the pause between two exchanges of one instance.
	exchangeInterval = 500 * time.Millisecond
	// exchangeTimeout bounds one exchange. It leaves time to resend one lost packet.
	exchangeTimeout = 600 * time.Millisecond
	// remoteProbability is the mean probability that one of the instances of a zone also
	// exchanges with another zone in an interval. It is low because an update has to cross
	// between two zones only once.
	remoteProbability = 0.25
	// seedProbability is the probability that an instance also exchanges with a seed that
	// is not a known member. Such exchanges reunite groups of instances that have lost
	// contact.
	seedProbability = 0.05
)

// Exchanger spreads the list of members among the instances by gossip.
type Exchanger struct {
	members   *Members
	client    *Client
	seeds     func() []string // returns peer addresses
	relays    *Relays
	suspects  *SuspectReporter
	connected map[string]uint64 // relay id to the incarnation that was called in advance
}

// NewExchanger returns an exchanger. Seeds returns the peer addresses to try besides the
// known members.
func NewExchanger(members *Members, client *Client, relays *Relays, reporter *SuspectReporter, seeds func() []string) *Exchanger {
	return &Exchanger{members: members, client: client, relays: relays, suspects: reporter, seeds: seeds, connected: make(map[string]uint64)}
}

// Serve exchanges at each interval until ctx ends. It implements suture.Service.
func (e *Exchanger) Serve(ctx context.Context) error {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		e.step(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// String names the service in the supervisor's log.
func (e *Exchanger) String() string { return "exchanger" }

func (e *Exchanger) step(ctx context.Context) {
	for _, target := range e.targets() {
		e.exchange(ctx, target, e.digestMessage())
	}
	e.connectRelays(ctx)
}

// connectRelays exchanges once with each incarnation of each relay, which opens a
// connection before a request needs it.
func (e *Exchanger) connectRelays(ctx context.Context) {
	for _, relay := range e.relays.inOtherZones() {
		if e.connected[relay.ID] != relay.Incarnation {
			e.connected[relay.ID] = relay.Incarnation
			e.exchange(ctx, relay, &peeringpb.ExchangeMessage{Sender: e.members.Self().toProto(0), Brief: true})
		}
	}
}

// targets selects the instances for the next exchange. It prefers this availability
// zone, within which traffic is free of charge.
func (e *Exchanger) targets() []Member {
	self := e.members.Self()
	var local, remote []Member
	for _, m := range e.members.Usable("") {
		if m.Zone == self.Zone {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	var targets []Member
	if len(local) > 0 {
		targets = append(targets, local[rand.IntN(len(local))])
	}
	if len(remote) > 0 && rand.Float64() < remoteProbability/float64(len(local)+1) {
		targets = append(targets, remote[rand.IntN(len(remote))])
	}
	if seeds := e.unknownSeeds(self); len(seeds) > 0 && (len(targets) == 0 || rand.Float64() < seedProbability) {
		targets = append(targets, Member{Address: seeds[rand.IntN(len(seeds))]})
	}
	return targets
}

// unknownSeeds returns the seeds that are neither this instance nor a usable member.
// Known seeds are left out because traffic with another zone is charged even if it
// brings nothing new.
func (e *Exchanger) unknownSeeds(self Member) []string {
	known := map[string]bool{self.Address: true}
	for _, m := range e.members.Usable("") {
		known[m.Address] = true
	}
	return slices.DeleteFunc(slices.Clone(e.seeds()), func(seed string) bool { return known[seed] })
}

// exchange sends a message and merges the reply. If the other instance does not know the
// same members, its reply holds all that it knows, and exchange then sends all members
// that this instance knows.
func (e *Exchanger) exchange(ctx context.Context, target Member, m *peeringpb.ExchangeMessage) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply := e.call(ctx, target, m)
	if reply == nil {
		return
	}
	e.merge(reply)
	if digest, _ := e.members.Digest(); !m.GetBrief() && reply.GetDigest() != digest {
		e.call(ctx, target, e.fullMessage())
	}
}

// call sends a message and records whether the target answered. It returns nil when
// there is no reply.
func (e *Exchanger) call(ctx context.Context, target Member, m *peeringpb.ExchangeMessage) *peeringpb.ExchangeMessage {
	ctx, elapsed := timed(ctx)
	reply, err := e.client.Exchange(ctx, target.Address, m)
	if err == nil {
		e.members.trips.Record(target.Zone, elapsed())
	}
	switch {
	case target.ID != "":
		e.members.RecordCall(target.ID, err == nil)
	case err != nil:
		// Seeds may be out of date, so a failure is worth no more than a debug line.
		e.members.logger.Debug("seed does not answer", "address", target.Address, "error", err)
	}
	if err != nil {
		return nil
	}
	return reply
}

// digestMessage returns the digest of the members that this instance knows, with the
// time since each was last seen.
func (e *Exchanger) digestMessage() *peeringpb.ExchangeMessage {
	digest, ages := e.members.Digest()
	m := &peeringpb.ExchangeMessage{
		Sender: e.members.Self().toProto(0),
		Digest: digest,
		AgesMs: make([]uint32, len(ages)),
	}
	e.suspects.addTo(m)
	for i, age := range ages {
		m.AgesMs[i] = toMilliseconds(age)
	}
	return m
}

// fullMessage returns all members that this instance knows. It asks for no members in
// the reply.
func (e *Exchanger) fullMessage() *peeringpb.ExchangeMessage {
	m := &peeringpb.ExchangeMessage{Sender: e.members.Self().toProto(0), Brief: true}
	e.suspects.addTo(m)
	members, ages := e.members.All()
	for i, member := range members {
		m.Members = append(m.Members, member.toProto(ages[i]))
	}
	return m
}

// Answer merges a message from another instance and returns the reply to it.
func (e *Exchanger) Answer(m *peeringpb.ExchangeMessage) *peeringpb.ExchangeMessage {
	same := e.merge(m)
	switch {
	case m.GetBrief():
		return &peeringpb.ExchangeMessage{Sender: e.members.Self().toProto(0)}
	case same:
		return e.digestMessage()
	default:
		reply := e.fullMessage()
		reply.Digest, _ = e.members.Digest()
		return reply
	}
}

// merge takes in the members of a message and reports whether its sender knows the same
// members as this instance.
func (e *Exchanger) merge(m *peeringpb.ExchangeMessage) bool {
	sender := memberFromProto(m.GetSender())
	e.members.MarkSeen(sender)
	e.suspects.merge(sender, m)
	for _, member := range m.GetMembers() {
		e.members.Merge(memberFromProto(member), fromMilliseconds(member.GetAgeMs()))
	}
	if len(m.GetAgesMs()) == 0 {
		return false
	}
	ages := make([]time.Duration, len(m.GetAgesMs()))
	for i, age := range m.GetAgesMs() {
		ages[i] = fromMilliseconds(age)
	}
	return e.members.MergeAges(m.GetDigest(), ages)
}
