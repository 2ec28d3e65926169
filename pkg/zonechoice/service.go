package zonechoice

import "time"

const (
	// Step is the most that a share moves at once.
	Step = 0.125
	// returnStep is the most that a share falls at once while the other zone has free
	// capacity. With shares that fall as fast as they rise the response time of a full zone
	// swung up to 54 instead of 34 ms in the simulation.
	returnStep = Step / 2
	// MinInterval and MaxInterval bound the random time between two moves of a share. With
	// these, a share takes about 2.4 s from 0 to 1, and 4.8 s back, longer than a server is
	// cold (3 s).
	MinInterval = 200 * time.Millisecond
	MaxInterval = 400 * time.Millisecond
	// leaveGain is the gain, as a share of the usual response time, above which requests
	// begin to leave. They return when there is no gain any more.
	leaveGain = 0.25
	// halfGain is the gain at which half of the requests should leave.
	halfGain = 0.4
	// clearGain is the multiple of the response time elsewhere, with the way, above which a request
	// leaves at once. A share that rises in steps sends most requests of the next two seconds to a
	// server that has become slow.
	clearGain = 3.0
	// usualTolerance is how far above the usual response time a zone still counts as being
	// at it. The estimate of the median varies by about a tenth.
	usualTolerance = 1.25
	// fullSlowness is the response time at which another zone has no free capacity, as a
	// multiple of the usual one. At 2 a zone that was busy but answered in time counted as
	// full for requests with short work that wait behind those with long work.
	fullSlowness = 2.5
	// pauseTime is the expected rest of a pause: servers pause for 150 to 200 ms.
	pauseTime = 100 * time.Millisecond
	// lossFactor is the weight of lost parts: with half of them lost nothing more is sent.
	// Answers may lack up to 15 in 100 parts, so some are lost also where little is amiss.
	lossFactor = 2.0
	// zoneTolerance is how much longer than in the best zone, as a share of the usual
	// response time, the expected response time in a zone may be for the zone to be used
	// besides. Requests that have to leave then spread over the zones.
	zoneTolerance = 0.5
	// firstHoldOff is how long nothing leaves after an attempt in vain. The time doubles with
	// each further one, up to maxHoldOff. Without it instances of two full zones would try
	// each other every two seconds, when the observations of the other zone have become old.
	firstHoldOff = 2 * time.Second
	maxHoldOff   = 32 * time.Second
	// trialPeriod is how long a share has to leave to show that this pays. One that finds the
	// other zone no better has returned after about 1.2 s.
	trialPeriod = 3 * time.Second
	// idleReset is the time without a request after which a share starts anew.
	idleReset = 10 * time.Second
)

// service is the state of one service.
type service struct {
	share    float64 // of the requests that leave
	target   string  // zone that they go to
	forced   bool    // this zone had no usable server at the last decision
	nextMove time.Time
	lastUsed time.Time
	losses   []losses // by other zone

	holdOff      time.Duration // latest one, 0 after a share that found free capacity
	heldOffUntil time.Time     // nothing leaves until then
	leftAt       time.Time     // when the share last began to leave

	// The samples since the last move.
	samples int
	atUsual int     // with this zone at its usual response time
	gain    float64 // sum, in units of the usual response time
	free    float64 // sum of the share that the other zone can take
}

// lossesOf returns the losses of a zone, nil if no part was requested from it.
func (s *service) lossesOf(zone string) *losses {
	for i := range s.losses {
		if s.losses[i].zone == zone {
			return &s.losses[i]
		}
	}
	return nil
}

// lossShare returns the share of lost parts of a zone.
func (s *service) lossShare(zone string, now time.Time) float64 {
	if l := s.lossesOf(zone); l != nil {
		return l.get(now)
	}
	return 0
}

// freeShare returns the share of this zone's requests that another zone can take without delay
// for its own callers.
func (s *service) freeShare(z *Zone, usual time.Duration, now time.Time) float64 {
	if z.Full || z.Paused || z.Waits {
		return 0
	}
	free := min(max(fullSlowness-float64(z.Expected)/float64(usual), 0), 1)
	return free * max(1-lossFactor*s.lossShare(z.Name, now), 0)
}

// spills reports whether a request that finds the best server here filled by this instance's
// own attempts leaves besides the share. Such a moment is over before a share could move, and
// other instances do not have it at the same time.
func (s *service) spills(v *View, z *Zone, total time.Duration, now time.Time) bool {
	return !z.Queued && v.Here.Expected > total && v.Draw <= s.freeShare(z, v.Usual, now)
}

// sample records the gain of leaving for a zone at one request. A zone at its usual
// response time gains nothing.
func (s *service) sample(v *View, z *Zone, total time.Duration, worthwhile bool, now time.Time) {
	s.samples++
	gain := float64(v.Here.Expected-total) / float64(v.Usual)
	usual := float64(v.Here.Expected) <= usualTolerance*float64(v.Usual)
	if !worthwhile || usual {
		gain = min(gain, 0)
	}
	if usual {
		s.atUsual++
	}
	s.gain += gain
	s.free += s.freeShare(z, v.Usual, now)
}

func (s *service) dropSamples() { s.samples, s.atUsual, s.gain, s.free = 0, 0, 0, 0 }

// move returns the share moved by at most Step towards the goal and drops the samples.
func (s *service) move(now time.Time) float64 {
	if s.samples == 0 {
		return s.share
	}
	gain, free, relieved := s.gain/float64(s.samples), s.free/float64(s.samples), 2*s.atUsual >= s.samples
	s.dropSamples()
	least := -returnStep
	if free < s.share {
		least = -Step // the other zone's own callers come first
	}
	next := s.share + min(max(s.goal(gain, free)-s.share, least), Step)
	switch {
	case s.share == 0 && now.Before(s.heldOffUntil):
		return 0
	case s.share > 0 && next == 0 && !relieved && now.Sub(s.leftAt) <= trialPeriod:
		s.holdOff = min(max(2*s.holdOff, firstHoldOff), maxHoldOff)
		s.heldOffUntil = now.Add(s.holdOff)
	case s.share == 0 && next > 0:
		s.leftAt = now
	case s.share > 0 && now.Sub(s.leftAt) > trialPeriod:
		s.holdOff = 0
	}
	return next
}

// goal returns the share that the gain asks for: none without gain, and more the greater
// the gain is, up to what the other zone can take. Between the two thresholds a share that
// leaves is not raised.
func (s *service) goal(gain, free float64) float64 {
	switch {
	case gain <= 0:
		return 0
	case gain < leaveGain:
		return min(s.share, free)
	default:
		return min(gain/(gain+halfGain), free)
	}
}
