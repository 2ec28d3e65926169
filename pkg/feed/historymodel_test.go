package feed

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sycamorelift/sycamorelift/pkg/directory"
)

const (
	// modelDrain is the drain time of the model's directories.
	modelDrain = 3 * time.Second
	// agreementBound is the time within which all instances agree once all reach the store and
	// each other: a failed reader is tried again after readerBackoff, and the pauses between
	// repeated full reads are at most as long.
	agreementBound = 4 * readerBackoff
	// maxInterleaving bounds how many steps run inside each other.
	maxInterleaving = 2
)

var modelKeys = []string{"table", "server/0", "server/1", "server/2", "server/3"}

var errLost = errors.New("answer lost")

// historyModel runs the follow loops of several instances against a model store. Only one
// goroutine runs; what happens during a call is drawn inside the call.
type historyModel struct {
	t         *rapid.T
	log       []string // actions so far, for failures
	now       time.Time
	store     *modelStore
	writeAt   []modelWrite
	instances []*modelInstance
	reader    int
	rewrites  []modelRewrite // by time
	depth     int
	quiet     bool // no faults are drawn
	version   int64
	published []tableWrite
	newestRun map[string]int64 // by key
	lastLive  map[int64]int    // number of the last write by which a run stays, by its start
}

// modelWrite is when a position was written.
type modelWrite struct {
	era, revision int64
	at            time.Time
}

// modelRewrite is what a writer will write again after a restore.
type modelRewrite struct {
	at         time.Time
	key, value string
}

// modelInstance is one run of an instance.
type modelInstance struct {
	m        *historyModel
	id       int
	f        *Follower
	loop     *followLoop
	nextStep time.Time
	held     time.Duration // for which the last watch was held, while no faults are drawn
	busy     bool          // a step is in progress
	cut      bool          // the store refuses this instance
	version  int64
	era      int64
	eraSince time.Time // when the instance was first seen in the era
	// staying holds the write by which each run of a server was last seen staying, and gone
	// that of the runs that then left, by Server.Key.
	staying, gone map[string]int
}

// position returns the position of the instance's view.
func (i *modelInstance) position() (era, revision int64) {
	return i.loop.position.Era, i.loop.position.Revision
}

func (m *historyModel) add(id int) *modelInstance {
	i := &modelInstance{m: m, id: id, staying: map[string]int{}, gone: map[string]int{}, nextStep: m.now}
	now := func() time.Time { return m.now }
	i.f = NewFollower(modelLink{i}, modelSources{i}, modelDecoder{}, directory.New(modelDrain, now), slog.New(slog.DiscardHandler))
	pauses := time.Duration(id)
	i.f.clock = clock{now: now, random: func(limit time.Duration) time.Duration {
		pauses++
		return limit * (pauses % 4) / 4
	}}
	i.loop = &followLoop{follower: i.f}
	return i
}

func (m *historyModel) note(format string, args ...any) {
	m.log = append(m.log, strings.Repeat("  ", m.depth)+fmt.Sprintf(format, args...))
}

func (m *historyModel) fatalf(format string, args ...any) {
	m.t.Helper()
	m.t.Fatalf("%s\nafter:\n%s", fmt.Sprintf(format, args...), strings.Join(m.log, "\n"))
}

func (m *historyModel) draw(label string, limit int) int {
	return rapid.IntRange(0, limit-1).Draw(m.t, label)
}

// setNow moves the clock forward, with the writes that are due meanwhile.
func (m *historyModel) setNow(now time.Time) {
	for len(m.rewrites) > 0 && !m.rewrites[0].at.After(now) {
		due := m.rewrites[0]
		m.now = later(m.now, due.at)
		m.put(due.key, due.value)
	}
	m.now = later(m.now, now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// drill restores the store from a copy some writes old. The operator and most servers that
// run write again within rewriteTime what the copy lacks.
func (m *historyModel) drill() {
	lost := min(m.draw("lost writes", 8), int(m.store.revision()))
	before := m.store.at(m.store.era(), m.store.revision())
	m.store.restore(m.store.revision() - int64(lost))
	m.store.down = false
	m.note("store restored at %v", m.store.position())
	m.writeAt = append(m.writeAt, modelWrite{m.store.era(), m.store.revision(), m.now})
	pending := map[string]string{}
	for _, r := range m.rewrites {
		pending[r.key] = r.value
	}
	m.rewrites = nil
	copied := m.store.at(m.store.era(), m.store.revision())
	for _, key := range modelKeys {
		item, listed := before[key]
		value, _, _ := cutLast(string(item.Value))
		again, isPending := pending[key]
		switch {
		case key == "table":
			value = fmt.Sprint(m.version)
		case isPending:
			value = again
		case !listed || m.draw("writer is gone", 4) == 0:
			continue
		}
		if copy, _, _ := cutLast(string(copied[key].Value)); copy == value && m.draw("written again", 2) == 0 {
			continue
		}
		m.rewrites = append(m.rewrites, modelRewrite{m.now.Add(time.Duration(m.draw("ms", 1900)) * time.Millisecond), key, value})
	}
	slices.SortFunc(m.rewrites, func(a, b modelRewrite) int { return a.at.Compare(b.at) })
}

// cutLast cuts the number of the write off a value.
func cutLast(value string) (before, after string, found bool) {
	if i := strings.LastIndex(value, "/"); i >= 0 {
		return value[:i], value[i+1:], true
	}
	return value, "", false
}

func (m *historyModel) put(key, value string) {
	// The writer of the key has nothing else to write again.
	m.rewrites = slices.DeleteFunc(m.rewrites, func(r modelRewrite) bool { return r.key == key })
	m.store.put(key, value)
	var run int64
	if _, err := fmt.Sscanf(value, "live/%d", &run); err == nil {
		m.lastLive[run] = int(m.store.written)
	}
	m.note("write %d/%d %s=%s", m.store.era(), m.store.revision(), key, value)
	m.writeAt = append(m.writeAt, modelWrite{m.store.era(), m.store.revision(), m.now})
}

func (m *historyModel) write() {
	key := fmt.Sprintf("server/%d", m.draw("server", 4))
	current, listed := m.store.at(m.store.era(), m.store.revision())[key]
	born := m.store.written + 1
	if listed {
		fmt.Sscanf(strings.Split(string(current.Value), "/")[1], "%d", &born)
		if born < m.newestRun[key] {
			// Its run ended before a drill, so that only another run can write.
			born, listed = m.store.written+1, false
		}
	}
	m.newestRun[key] = max(m.newestRun[key], born)
	switch kind := m.draw("kind of write", 5); {
	case kind == 0:
		m.version++
		m.put("table", fmt.Sprint(m.version))
		m.published = append(m.published, tableWrite{m.version, m.now})
	case kind == 1 && listed:
		m.put(key, "")
	case kind == 2 && listed:
		m.put(key, fmt.Sprintf("leaving/%d", born))
	case kind == 3 && listed:
		m.newestRun[key] = m.store.written + 1
		m.put(key, fmt.Sprintf("live/%d", m.store.written+1)) // another run
	case listed && strings.HasPrefix(string(current.Value), "leaving"):
		m.put(key, "")
	default:
		m.put(key, fmt.Sprintf("live/%d", born))
	}
}

func (m *historyModel) advance(limit time.Duration) {
	m.setNow(m.now.Add(time.Duration(m.draw("ms", int(limit.Milliseconds()))+1) * time.Millisecond))
	m.note("time %v", m.now.Sub(time.Unix(0, 0)))
}

// step runs a step of an instance.
func (m *historyModel) step(i *modelInstance) {
	if i.busy || i.nextStep.After(m.now) {
		return
	}
	m.note("step of %d at %v", i.id, i.loop.position)
	i.busy = true
	m.depth++
	began := m.now
	pause := i.loop.step(context.Background())
	m.depth--
	i.busy = false
	i.nextStep, i.held = m.now.Add(max(pause, time.Millisecond)+i.held), 0
	m.note("step of %d ends at %v", i.id, i.loop.position)
	m.check(i)
	if era, _ := i.position(); era != i.era {
		i.era, i.eraSince = era, m.now
	} else if began.Sub(i.eraSince) >= rewriteTime {
		m.checkListed(i)
	}
}

// interleave lets other things happen during a call.
func (m *historyModel) interleave(limit time.Duration) {
	if m.depth > maxInterleaving {
		return
	}
	for range m.draw("meanwhile", 3) {
		switch m.draw("event", 6) {
		case 0, 1:
			m.write()
		case 2, 3:
			m.step(m.instances[m.draw("instance", len(m.instances))])
		case 4:
			m.advance(limit)
		case 5:
			if m.draw("drill", 5) == 0 {
				m.drill()
			}
		}
	}
}

// deliver ends a call whose answer was created at a time: the answer arrives in time, or not.
func (m *historyModel) deliver(created time.Time, wait time.Duration) error {
	m.interleave(maxReplyDelay)
	if m.now.Sub(created) > maxReplyDelay || !m.quiet && m.draw("lost", 10) == 0 {
		m.note("answer lost")
		m.setNow(m.now.Add(wait))
		return errLost
	}
	return nil
}

// hold passes the time for which a watch is held. Without a change that is the whole wait.
// While no faults are drawn, the instances wait side by side: the watch ends at once, and the
// next step comes later instead.
func (m *historyModel) hold(i *modelInstance, wait time.Duration, hasChange func() bool) {
	if m.quiet {
		i.held = wait / 4
		return
	}
	until := m.now.Add(wait)
	m.interleave(wait/4 + time.Millisecond)
	for !hasChange() && m.now.Before(until) {
		next := until
		if len(m.rewrites) > 0 && m.rewrites[0].at.Before(until) {
			next = later(m.rewrites[0].at, m.now.Add(time.Millisecond))
		}
		m.setNow(next)
	}
}

// agree lets all instances reach the store and each other, and checks that they agree with it
// within agreementBound.
func (m *historyModel) agree() {
	m.note("no faults from here on")
	m.quiet, m.store.down = true, false
	for _, i := range m.instances {
		i.cut = false
	}
	m.depth = maxInterleaving + 1 // nothing is interleaved
	for end := m.now.Add(agreementBound); m.now.Before(end); {
		next := m.instances[0]
		for _, i := range m.instances {
			if i.nextStep.Before(next.nextStep) {
				next = i
			}
		}
		if next.nextStep.After(m.now) {
			m.setNow(next.nextStep)
		}
		m.step(next)
	}
	m.depth, m.quiet = 0, false
	for _, i := range m.instances {
		if era, revision := i.position(); era != m.store.era() || revision != m.store.revision() {
			m.fatalf("instance %d is at %d/%d, the store at %d/%d", i.id, era, revision, m.store.era(), m.store.revision())
		}
		m.check(i)
	}
}

// Guards against missed changes, servers that come back, and views that are older than they
// state, for any order of writes, outages, lost and late answers, sources that change or lie
// behind, and restarts.
func TestHistoryIsFollowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &historyModel{t: t, now: time.Unix(0, 0), store: newModelStore(), newestRun: map[string]int64{}, lastLive: map[int64]int{}}
		m.version = 1
		m.put("table", "1")
		m.put("server/0", "live/1")
		for id := range rapid.IntRange(3, 8).Draw(t, "instances") {
			m.instances = append(m.instances, m.add(id))
		}
		any := func() int { return m.draw("instance", len(m.instances)) }
		actions := map[string]func(){
			"write":   func() { m.write() },
			"advance": func() { m.advance(2 * time.Second) },
			"step":    func() { m.step(m.instances[any()]) },
			"step2":   func() { m.step(m.instances[any()]) },
			"run": func() {
				m.setNow(m.now.Add(200 * time.Millisecond))
				for _, i := range m.instances {
					m.step(i)
				}
			},
			"truncate": func() { m.store.truncated = m.store.revision(); m.note("history truncated") },
			"outage":   func() { m.store.down = !m.store.down; m.note("store down: %v", m.store.down) },
			"cut":      func() { i := m.instances[any()]; i.cut = !i.cut; m.note("%d cut: %v", i.id, i.cut) },
			"reader":   func() { m.reader = any(); m.note("reader is %d", m.reader) },
			"restart":  func() { id := any(); m.instances[id] = m.add(id); m.note("restart of %d", id) },
			"drill":    m.drill,
			"agree":    m.agree,
		}
		repeated := map[string]func(*rapid.T){}
		for name, action := range actions {
			repeated[name] = func(t *rapid.T) {
				m.t = t
				action()
			}
		}
		t.Repeat(repeated)
		m.t = t
		m.agree()
	})
}
