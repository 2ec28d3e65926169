package shedding

import "time"

// Policy decides what a request may do while capacity is short. It is safe for concurrent use.
type Policy struct {
	Classes  *Classes
	Shortage *Shortage
	Queue    *Queue
	Refused  *Refused
	// Admission bounds the requests of callers; requests of other instances are bounded there.
	Admission *Admission
}

// NewPolicy returns a policy without observations. It calls onOverload when it begins and when it
// ceases to refuse requests of callers; onOverload must not block.
func NewPolicy(onOverload func(active bool)) *Policy {
	return &Policy{Classes: NewClasses(), Shortage: NewShortage(), Queue: NewQueue(), Refused: NewRefused(), Admission: NewAdmission(onOverload)}
}

// MayHedge reports whether a request of a priority may send a hedge to a service. While the
// service is short, hedges of the least urgent are left out, then those of all but the most
// urgent. Requests without a more urgent priority beside them keep their hedges.
func (p *Policy) MayHedge(service string, priority int, now time.Time) bool {
	above, below := p.Classes.Rank(priority, now)
	if above == 0 {
		return true
	}
	switch p.Shortage.Service(service, now) {
	case Ample:
		return true
	case Short:
		return below > 0
	default:
		return false
	}
}

// spareShare is the share of the parts that an answer may lack that are left out on purpose.
// The others are kept for parts that are late without being left out.
const spareShare = 0.5

// LeaveOut reports whether a part is not asked for at all. This is so for the least urgent
// requests when the service is severely short. MayLack is the number of parts that the answer
// may lack, gone the number of parts that it lacks already.
func (p *Policy) LeaveOut(service string, priority, mayLack, gone int, now time.Time) bool {
	if gone >= int(spareShare*float64(mayLack)) {
		return false
	}
	above, below := p.Classes.Rank(priority, now)
	return above > 0 && below == 0 && p.Shortage.Service(service, now) == Severe
}

// Demand describes what a request needs from one service that has no free capacity.
type Demand struct {
	FreeIn   time.Duration // until the server takes the next attempt
	Latency  time.Duration // expected time of an attempt there
	Slots    float64       // attempts that the server may run for this instance at once
	Ahead    int           // waiting attempts that go first
	AnswerIn time.Duration // until the answer is due
}

// Wait returns the expected wait for capacity. It assumes that nothing but the attempts of this
// instance delays the server, so the real wait is rarely shorter.
func (d Demand) Wait() time.Duration {
	return d.FreeIn + time.Duration(float64(d.Ahead)*float64(d.Latency)/max(d.Slots, 1))
}

// TooLate reports whether the part will come after the answer is due.
func (d Demand) TooLate() bool { return d.Wait()+d.Latency > d.AnswerIn }
