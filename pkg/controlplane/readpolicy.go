package controlplane

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sycamorelift/sycamorelift/pkg/configclient"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

const (
	// readersPerZone is the number of instances of a zone that watch the service all
	// the time. With two of them, the zone still sees changes at once when one fails.
	readersPerZone = 2
	// watchWait is short so that a watch on an unresponsive connection is given up
	// well within the 3 s in which a change has to take effect.
	watchWait = 1 * time.Second
	// minWatchPause is the least pause between two watches, and between two checks of
	// the read policy. It bounds the call rate when the service answers at once.
	minWatchPause = 50 * time.Millisecond
	// pollsPerSecond bounds the total rate at which instances that are not readers
	// poll the service. The polls find a change when the readers have failed or see
	// a stale service: if a share f of the instances can see the change, the first
	// of them finds it after 1/(100 f) s on average. The rate is 5% of the service's
	// read limit.
	pollsPerSecond = 100
	// minPollInterval is the least mean interval between such polls of one instance.
	minPollInterval = 2 * time.Second
	// unconfirmedReadsPerSecond bounds the total rate of polls when no instance has
	// its documents confirmed by a peer.
	unconfirmedReadsPerSecond = 500
	// minUnconfirmedInterval is the least mean interval between these polls of one
	// instance.
	minUnconfirmedInterval = 1 * time.Second
	// maxReadSleep bounds the pause until an instance checks its role again.
	maxReadSleep = 250 * time.Millisecond
)

// readBackoff is the backoff after the service has failed or refused a call.
var readBackoff = configclient.Backoff{Base: 200 * time.Millisecond, Max: time.Second}

// readRole is the way in which an instance reads the service.
type readRole int

const (
	rolePoller      readRole = iota // polls at pollsPerSecond, shared by the fleet
	roleReader                      // watches the service all the time
	roleUnconfirmed                 // polls more often, because nobody confirms its documents
)

// readPolicy decides when this instance reads the service. It is not safe for
// concurrent use.
type readPolicy struct {
	self                membership.Instance
	random              *rand.Rand
	role                readRole
	nextRead            time.Time // earliest start of the next read; zero before the first call of decide
	consecutiveFailures int       // failed reads since the last success
}

// decide updates the role of this instance and returns it, and whether a read is
// due at now. fresh means that the documents were confirmed recently.
func (p *readPolicy) decide(usable []membership.Instance, fresh bool, now time.Time) (readRole, bool) {
	role := p.electRole(usable, fresh)
	if role != p.role || p.nextRead.IsZero() {
		plannedRead := p.nextRead
		p.role = role
		p.schedule(len(usable), now)
		// A new role may only bring the next read forward: otherwise frequent changes
		// of the role could postpone the read indefinitely.
		if !plannedRead.IsZero() && plannedRead.Before(p.nextRead) {
			p.nextRead = plannedRead
		}
	}
	return role, !now.Before(p.nextRead)
}

// readStarted schedules the next read when a read starts at now.
func (p *readPolicy) readStarted(fleetSize int, now time.Time) {
	p.schedule(fleetSize, now)
}

// readEnded records whether a read succeeded. After a failure the next read waits
// at least for the backoff. A reader waits only for the backoff, since its next
// read was due at once.
func (p *readPolicy) readEnded(succeeded bool, now time.Time) {
	if succeeded {
		p.consecutiveFailures = 0
		return
	}
	p.consecutiveFailures++
	retryAt := now.Add(readBackoff.Delay(p.consecutiveFailures, p.random))
	if p.role == roleReader || retryAt.After(p.nextRead) {
		p.nextRead = retryAt
	}
}

// readSoon brings the next read forward to between 125 and 375 ms from now. It does
// nothing when the last read failed, so that the backoff is kept.
func (p *readPolicy) readSoon(now time.Time) {
	readAt := now.Add(p.jitter(minUnconfirmedInterval / 4))
	if p.consecutiveFailures == 0 && readAt.Before(p.nextRead) {
		p.nextRead = readAt
	}
}

// schedule sets the time of the next read according to the role.
func (p *readPolicy) schedule(fleetSize int, now time.Time) {
	switch p.role {
	case roleReader:
		p.nextRead = now
	case roleUnconfirmed:
		p.nextRead = now.Add(p.jitter(fleetInterval(fleetSize, unconfirmedReadsPerSecond, minUnconfirmedInterval)))
	default:
		p.nextRead = now.Add(p.jitter(fleetInterval(fleetSize, pollsPerSecond, minPollInterval)))
	}
}

// electRole elects the readers of the zone among its usable instances by rendezvous
// hashing and returns the role of this instance.
func (p *readPolicy) electRole(usable []membership.Instance, fresh bool) readRole {
	zoneInstances := make([]membership.Instance, 0, len(usable))
	for _, instance := range usable {
		if instance.Zone == p.self.Zone {
			zoneInstances = append(zoneInstances, instance)
		}
	}
	readers := membership.Rank("reader/"+p.self.Zone, zoneInstances, readersPerZone)
	isSelf := func(i membership.Instance) bool { return i.ID == p.self.ID }
	switch {
	case slices.ContainsFunc(readers, isSelf):
		return roleReader
	case !fresh:
		return roleUnconfirmed
	default:
		return rolePoller
	}
}

// jitter returns a random duration between 0.5 and 1.5 times mean.
func (p *readPolicy) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(p.random.Int64N(int64(mean)))
}

// fleetInterval returns the interval between the calls of one instance at which a
// fleet of the given size makes at most maxPerSecond calls in total. The interval is
// at least minInterval.
func fleetInterval(fleetSize, maxPerSecond int, minInterval time.Duration) time.Duration {
	return max(minInterval, time.Duration(fleetSize)*time.Second/time.Duration(maxPerSecond))
}
