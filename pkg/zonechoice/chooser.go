package zonechoice

import "time"

const (
	// sweepInterval and forgetAfter bound the memory for services that no longer exist.
	sweepInterval = 30 * time.Second
	forgetAfter   = 2 * time.Minute
)

// Chooser holds the shares of all services. It is not safe for concurrent use.
type Chooser struct {
	costPerKiB time.Duration
	random     func() float64 // uniform from 0 to 1
	report     *reporter
	services   map[string]*service
	sequences  map[string]*Sequence // by route
	lastSweep  time.Time
}

// New returns a chooser without observations. CostPerKiB is the response time that is
// accepted for saving one KiB between zones; random returns uniform values from 0 to 1.
// OnChange is called when the first service begins to leave for a zone and when the last
// one has returned; it must not block.
func New(costPerKiB time.Duration, random func() float64, onChange func(Change)) *Chooser {
	return &Chooser{
		costPerKiB: costPerKiB,
		random:     random,
		report:     &reporter{onChange: onChange, zones: make(map[string]*zoneReport)},
		services:   make(map[string]*service),
		sequences:  make(map[string]*Sequence),
	}
}

// CostPerKiB returns the response time that is accepted for saving one KiB between zones.
func (c *Chooser) CostPerKiB() time.Duration { return c.costPerKiB }

// Draw returns the value for the next request on a route. All shards of the request use
// the same value, so that those which leave do so together and share one message.
func (c *Chooser) Draw(route string) float64 {
	sequence := c.sequences[route]
	if sequence == nil {
		sequence = NewSequence(c.random())
		c.sequences[route] = sequence
	}
	return sequence.Next()
}

// Decide returns the zone that a first attempt should go to, and false if it should stay
// in this zone.
func (c *Chooser) Decide(v *View, now time.Time) (zone string, leaves bool) {
	s := c.service(v.Service, now)
	if len(v.Others) == 0 {
		s.forced = false
		c.set(v.Service, s, 0, s.target, now)
		c.schedule(s, now)
		return "", false
	}
	if !v.Usable {
		return c.forceOut(s, v, now), true
	}
	s.forced = false
	target, total, worthwhile := c.target(s, v, now)
	if target.Name != s.target {
		c.set(v.Service, s, 0, target.Name, now)
	}
	if (v.Here.Paused || v.Here.Waits) && !target.Paused && !target.Waits {
		// The moment says nothing about the load, so the share stays.
		return target.Name, v.Here.Waits || total < pauseTime
	}
	s.sample(v, target, total, worthwhile, now)
	if !now.Before(s.nextMove) {
		c.set(v.Service, s, s.move(now), target.Name, now)
		c.schedule(s, now)
	}
	if v.Here.Full && !target.Full && s.freeShare(target, v.Usual, now) > 0 {
		return target.Name, true
	}
	if isClear(v, target, total) {
		return target.Name, true
	}
	return target.Name, v.Draw < s.share || (v.Here.Queued || v.Here.Full) && s.spills(v, target, total, now)
}

// isClear reports whether a request gains so much in another zone that it leaves besides the share.
func isClear(v *View, z *Zone, total time.Duration) bool {
	return v.Draw < 1 && !z.Full && !z.Paused && !z.Waits &&
		float64(v.Here.Expected) > max(usualTolerance*float64(v.Usual), clearGain*float64(total))
}

// schedule sets the time of the next move. The random interval keeps the instances from
// moving at the same time.
func (c *Chooser) schedule(s *service, now time.Time) {
	s.nextMove = now.Add(MinInterval + time.Duration(c.random()*float64(MaxInterval-MinInterval)))
}

// forceOut sends a request out because this zone has no usable server. The requests spread
// over the zones that are about as good as the best one.
func (c *Chooser) forceOut(s *service, v *View, now time.Time) string {
	_, best := c.best(s, v, now)
	limit := best + time.Duration(zoneTolerance*float64(v.Usual))
	eligible := 0
	for i := range v.Others {
		if c.total(s, &v.Others[i], v, now) <= limit {
			eligible++
		}
	}
	pick := min(int(v.Draw*float64(eligible)), eligible-1)
	for i := range v.Others {
		if c.total(s, &v.Others[i], v, now) > limit {
			continue
		}
		if pick == 0 {
			if !s.forced {
				s.forced = true
				c.set(v.Service, s, 1, v.Others[i].Name, now)
				s.dropSamples()
			}
			c.schedule(s, now)
			return v.Others[i].Name
		}
		pick--
	}
	return v.Others[0].Name
}

// target returns the zone to leave for and its total time. A share that leaves keeps its
// zone; worthwhile is false if another zone has become so much better that the share has to
// return before it leaves for that one.
func (c *Chooser) target(s *service, v *View, now time.Time) (zone *Zone, total time.Duration, worthwhile bool) {
	best, least := c.best(s, v, now)
	if s.share == 0 || best.Name == s.target {
		return best, least, true
	}
	for i := range v.Others {
		if z := &v.Others[i]; z.Name == s.target {
			total := c.total(s, z, v, now)
			return z, total, total <= least+time.Duration(zoneTolerance*float64(v.Usual))
		}
	}
	return best, least, true
}

// best returns the other zone with the least total time.
func (c *Chooser) best(s *service, v *View, now time.Time) (*Zone, time.Duration) {
	best, least := &v.Others[0], c.total(s, &v.Others[0], v, now)
	for i := range v.Others[1:] {
		z := &v.Others[i+1]
		if total := c.total(s, z, v, now); total < least {
			best, least = z, total
		}
	}
	return best, least
}

// total returns the expected response time in another zone with the way there, the cost of
// the bytes and the parts that it loses.
func (c *Chooser) total(s *service, z *Zone, v *View, now time.Time) time.Duration {
	expected := z.Expected
	if lost := s.lossShare(z.Name, now); lost > 0 {
		expected += time.Duration(lossFactor * lost * float64(v.Usual))
	}
	return expected + Way(z, v.Bytes, c.costPerKiB)
}

// RecordPart records whether another zone has delivered a part of a service in time.
func (c *Chooser) RecordPart(name, zone string, inTime bool, now time.Time) {
	s := c.service(name, now)
	l := s.lossesOf(zone)
	if l == nil {
		if inTime {
			return
		}
		s.losses = append(s.losses, losses{zone: zone, at: now})
		l = &s.losses[len(s.losses)-1]
	}
	l.record(!inTime, now)
}

// Share returns the share of a service that leaves, and the zone that it goes to.
func (c *Chooser) Share(name string) (share float64, zone string) {
	if s := c.services[name]; s != nil {
		return s.share, s.target
	}
	return 0, ""
}

func (c *Chooser) service(name string, now time.Time) *service {
	c.sweep(now)
	s := c.services[name]
	if s == nil {
		s = &service{}
		c.schedule(s, now)
		c.services[name] = s
	} else if now.Sub(s.lastUsed) > idleReset {
		c.set(name, s, 0, s.target, now)
		s.dropSamples()
	}
	s.lastUsed = now
	return s
}

// set changes the share or the target of a service.
func (c *Chooser) set(name string, s *service, share float64, target string, now time.Time) {
	if s.share > 0 && (share == 0 || target != s.target) {
		c.report.returned(s.target, now)
	}
	if share > 0 && (s.share == 0 || target != s.target) {
		c.report.began(target, name, share, now)
	}
	s.share, s.target = share, target
}

func (c *Chooser) sweep(now time.Time) {
	if now.Sub(c.lastSweep) < sweepInterval {
		return
	}
	c.lastSweep = now
	for name, s := range c.services {
		if now.Sub(s.lastUsed) >= forgetAfter {
			c.set(name, s, 0, s.target, now)
			delete(c.services, name)
		}
	}
}
