package main

import (
	"errors"
	"time"
)

const (
	cutTime = 5500 * time.Millisecond
	// watchesBefore is how long after a new desired state the way of an instance is cut.
	watchesBefore = 100 * time.Millisecond
	drainsAfter   = 200 * time.Millisecond
	// forgotten is how often the store drops its history before the drain, and forgetInterval the
	// time between two of these.
	forgotten      = 7
	forgetInterval = 4 * time.Second
)

// cutReader cuts the instances off from the store, one after the other, and empties a shard just
// after each cut has begun.
func cutReader(s *stage) error {
	for n, i := range s.instances {
		s.publish()
		time.Sleep(watchesBefore)
		if s.trouble {
			i.cutFrom = time.Now()
			i.cutUntilInTouch = i.cutFrom.Add(cutTime + stabilityWindow)
			i.way.setCut(true)
			s.note("%s is cut off from the store", i.id)
		}
		time.Sleep(drainsAfter)
		s.drain(s.servers[n]...)
		time.Sleep(cutTime - drainsAfter)
		if s.trouble {
			i.way.setCut(false)
			s.note("%s reaches the store again", i.id)
		}
		time.Sleep(stabilityWindow + time.Second)
	}
	return nil
}

// forgetfulStore lets the store drop its history again and again. When it has been stable again for
// longer than the stability window, one server of each shard drains.
func forgetfulStore(s *stage) error {
	for n := range forgotten {
		reads := s.store.Reads()
		if s.trouble {
			s.note("the store drops its history")
			s.store.forget(s.publish)
		} else {
			s.publish()
			time.Sleep(time.Second)
		}
		if n < forgotten-2 {
			time.Sleep(forgetInterval - time.Second)
			continue
		}
		if n == forgotten-1 {
			break
		}
		for deadline := time.Now().Add(15 * time.Second); s.trouble && s.store.Reads() == reads; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(deadline) {
				return errors.New("the store was not read again")
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	s.note("the store is stable from now on")
	time.Sleep(stabilityWindow + 200*time.Millisecond)
	for _, pair := range s.servers {
		s.drain(pair[0])
	}
	time.Sleep(8 * time.Second)
	return nil
}
