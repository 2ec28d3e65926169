package controlplane

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/configclient"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

const (
	// readersPerZone watch the service all the time; the second one covers the
	// failure of the first without a takeover.
	readersPerZone = 2
	// watchWait is short so that a watch on an unresponsive connection is given up
	// well within the 3 s in which a change has to take effect.
	watchWait = 1 * time.Second
	// minWatchPause separates two watches when the service answers at once.
	minWatchPause = 50 * time.Millisecond
	// probesPerSecond bounds the total rate at which instances that are not readers
	// poll the service. The polls find a change when the readers have failed or see
	// a stale service: if a share f of the instances can see the change, the first
	// of them finds it after 1/(100 f) s on average. The rate is 5% of the service's
	// read limit.
	probesPerSecond = 100
	// minProbeInterval is the mean interval of probes in a small fleet.
	minProbeInterval = 2 * time.Second
	// unconfirmedReadsPerSecond bounds the total rate of reads when no instance has
	// its documents confirmed by a peer.
	unconfirmedReadsPerSecond = 500
	// minUnconfirmedInterval is the mean interval of such reads in a small fleet.
	minUnconfirmedInterval = 1 * time.Second
	// maxReadSleep is the longest time between two checks of an instance's role.
	maxReadSleep = 250 * time.Millisecond
)

// readBackoff spaces calls after the service has failed or refused.
var readBackoff = configclient.Backoff{Base: 200 * time.Millisecond, Max: time.Second}

// readRole is the way in which an instance reads the service.
type readRole int

const (
	roleProber      readRole = iota // polls rarely
	roleReader                      // watches
	roleUnconfirmed                 // polls often, because nobody confirms its documents
)

// readPolicy decides when this instance reads the service. It is not safe for
// concurrent use.
type readPolicy struct {
	self     membership.Instance
	random   *rand.Rand
	role     readRole
	next     time.Time
	failures int
}

// decide returns the role at now and whether a read is due.
func (p *readPolicy) decide(usable []membership.Instance, fresh bool, now time.Time) (readRole, bool) {
	role := p.roleOf(usable, fresh)
	if role != p.role || p.next.IsZero() {
		planned := p.next
		p.role = role
		p.schedule(len(usable), now)
		// Frequent changes of the role must not postpone the next read indefinitely.
		if !planned.IsZero() && planned.Before(p.next) {
			p.next = planned
		}
	}
	return role, !now.Before(p.next)
}

// began schedules the next read when a read starts at now.
func (p *readPolicy) began(fleet int, now time.Time) {
	p.schedule(fleet, now)
}

// ended records the result of a read.
func (p *readPolicy) ended(ok bool, now time.Time) {
	if ok {
		p.failures = 0
		return
	}
	p.failures++
	retry := now.Add(readBackoff.Delay(p.failures, p.random))
	if p.role == roleReader || retry.After(p.next) {
		p.next = retry
	}
}

// soon brings the next read forward to between 125 and 375 ms from now, unless
// the last read failed and its backoff is still to be kept.
func (p *readPolicy) soon(now time.Time) {
	at := now.Add(p.jitter(minUnconfirmedInterval / 4))
	if p.failures == 0 && at.Before(p.next) {
		p.next = at
	}
}

func (p *readPolicy) schedule(fleet int, now time.Time) {
	switch p.role {
	case roleReader:
		p.next = now
	case roleUnconfirmed:
		p.next = now.Add(p.jitter(spread(fleet, unconfirmedReadsPerSecond, minUnconfirmedInterval)))
	default:
		p.next = now.Add(p.jitter(spread(fleet, probesPerSecond, minProbeInterval)))
	}
}

// roleOf elects the readers of the zone by rendezvous hashing.
func (p *readPolicy) roleOf(usable []membership.Instance, fresh bool) readRole {
	zone := make([]membership.Instance, 0, len(usable))
	for _, instance := range usable {
		if instance.Zone == p.self.Zone {
			zone = append(zone, instance)
		}
	}
	readers := membership.Rank("reader/"+p.self.Zone, zone, readersPerZone)
	isSelf := func(i membership.Instance) bool { return i.ID == p.self.ID }
	switch {
	case slices.ContainsFunc(readers, isSelf):
		return roleReader
	case !fresh:
		return roleUnconfirmed
	default:
		return roleProber
	}
}

// jitter returns a random duration between 0.5 and 1.5 times mean.
func (p *readPolicy) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(p.random.Int64N(int64(mean)))
}

// spread returns the interval between the calls of one instance at which a fleet
// of the given size makes at most perSecond calls in total, but never below least.
func spread(fleet, perSecond int, least time.Duration) time.Duration {
	return max(least, time.Duration(fleet)*time.Second/time.Duration(perSecond))
}
