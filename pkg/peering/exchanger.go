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
	// exchangeTimeout bounds one exchange, a lost packet included.
	exchangeTimeout = 600 * time.Millisecond
	// remoteChance is the chance that one of a zone's instances, in the mean, also
	// exchanges with another zone: news need to cross only once.
	remoteChance = 0.25
	// seedChance is the chance that an exchange asks a seed that is not known as a
	// member, so that two groups of instances that have lost each other find together
	// again.
	seedChance = 0.05
)

// Exchanger spreads news among the instances.
type Exchanger struct {
	members *Members
	client  *Client
	seeds   func() []string // peer addresses
	relays  *Relays
	greeted map[string]uint64 // incarnations of relays that were called once
}

// NewExchanger returns an exchanger.
func NewExchanger(members *Members, client *Client, relays *Relays, seeds func() []string) *Exchanger {
	return &Exchanger{members: members, client: client, relays: relays, seeds: seeds, greeted: make(map[string]uint64)}
}

// Serve exchanges until ctx ends. It implements suture.Service.
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
		e.exchange(ctx, target, e.message())
	}
	e.greet(ctx)
}

// greet exchanges once with each relay, which opens the connection to it before a
// request needs it.
func (e *Exchanger) greet(ctx context.Context) {
	for _, relay := range e.relays.all() {
		if e.greeted[relay.ID] != relay.Incarnation {
			e.greeted[relay.ID] = relay.Incarnation
			e.exchange(ctx, relay, &peeringpb.ExchangeMessage{Sender: e.members.Self().message(0), Brief: true})
		}
	}
}

// targets prefers this availability zone, where bytes are free.
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
	var out []Member
	if len(local) > 0 {
		out = append(out, local[rand.IntN(len(local))])
	}
	if len(remote) > 0 && rand.Float64() < remoteChance/float64(len(local)+1) {
		out = append(out, remote[rand.IntN(len(remote))])
	}
	if seeds := e.unknownSeeds(self); len(seeds) > 0 && (len(out) == 0 || rand.Float64() < seedChance) {
		out = append(out, Member{Address: seeds[rand.IntN(len(seeds))]})
	}
	return out
}

// unknownSeeds returns the seeds that are neither this instance nor a usable member:
// an exchange with another zone that brings no news is priced by its bytes.
func (e *Exchanger) unknownSeeds(self Member) []string {
	known := map[string]bool{self.Address: true}
	for _, m := range e.members.Usable("") {
		known[m.Address] = true
	}
	return slices.DeleteFunc(slices.Clone(e.seeds()), func(seed string) bool { return known[seed] })
}

// exchange sends a message and takes over the reply. When the other instance does not
// know the same members, its reply holds all of them, and it is sent this instance's.
func (e *Exchanger) exchange(ctx context.Context, target Member, m *peeringpb.ExchangeMessage) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply := e.call(ctx, target, m)
	if reply == nil {
		return
	}
	e.take(reply)
	if digest, _ := e.members.Digest(); !m.GetBrief() && reply.GetDigest() != digest {
		e.call(ctx, target, e.everything())
	}
}

// call returns the reply, or nil when there is none.
func (e *Exchanger) call(ctx context.Context, target Member, m *peeringpb.ExchangeMessage) *peeringpb.ExchangeMessage {
	reply, err := e.client.Exchange(ctx, target.Address, m)
	switch {
	case target.ID != "":
		e.members.Report(target.ID, err == nil)
	case err != nil:
		// Seeds may be stale, so that this is no news.
		e.members.logger.Debug("seed does not answer", "address", target.Address, "error", err)
	}
	if err != nil {
		return nil
	}
	return reply
}

// message sums up what this instance knows.
func (e *Exchanger) message() *peeringpb.ExchangeMessage {
	digest, ages := e.members.Digest()
	m := &peeringpb.ExchangeMessage{Sender: e.members.Self().message(0), Digest: digest, AgesMs: make([]uint32, len(ages))}
	for i, age := range ages {
		m.AgesMs[i] = millisecondsOf(age)
	}
	return m
}

// everything holds all members and needs no reply.
func (e *Exchanger) everything() *peeringpb.ExchangeMessage {
	m := &peeringpb.ExchangeMessage{Sender: e.members.Self().message(0), Brief: true}
	members, ages := e.members.Listed()
	for i, member := range members {
		m.Members = append(m.Members, member.message(ages[i]))
	}
	return m
}

// Answer takes over the news of a message and returns this instance's.
func (e *Exchanger) Answer(m *peeringpb.ExchangeMessage) *peeringpb.ExchangeMessage {
	same := e.take(m)
	switch {
	case m.GetBrief():
		return &peeringpb.ExchangeMessage{Sender: e.members.Self().message(0)}
	case same:
		return e.message()
	default:
		reply := e.everything()
		reply.Digest, _ = e.members.Digest()
		return reply
	}
}

// take takes over the news of a message and reports whether its sender knows the same
// members as this instance.
func (e *Exchanger) take(m *peeringpb.ExchangeMessage) bool {
	e.members.Heard(memberOf(m.GetSender()))
	for _, member := range m.GetMembers() {
		e.members.Learn(memberOf(member), duration(member.GetAgeMs()))
	}
	if len(m.GetAgesMs()) == 0 {
		return false
	}
	ages := make([]time.Duration, len(m.GetAgesMs()))
	for i, age := range m.GetAgesMs() {
		ages[i] = duration(age)
	}
	return e.members.LearnAges(m.GetDigest(), ages)
}
