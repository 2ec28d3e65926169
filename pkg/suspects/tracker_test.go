package suspects

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const request = uint64(7)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func lossAt(server string, began, ended int) Loss {
	return Loss{Server: server, Began: at(began), Ended: at(ended)}
}

func newTracker(losses ...Loss) *Tracker {
	tracker := NewTracker(func(Change) {})
	for _, loss := range losses {
		tracker.RecordLoss(request, loss)
	}
	return tracker
}

// Guards against sending on a request that has taken down several servers at once: four losses
// side by side counted as one, and eight more servers were lost.
func TestLossesSideBySideCountEach(t *testing.T) {
	tracker := newTracker(lossAt("a", 0, 10), lossAt("b", 0, 10), lossAt("c", 1, 12), lossAt("d", 9, 11))
	verdict := tracker.Verdict(request, at(20))
	assert.Equal(t, verdict.Losses, 4)
	assert.Equal(t, verdict.Since, at(11), "the third loss")
}

// Guards against sending a request on after it has taken down one server after the other,
// and against a quarantine that never ends.
func TestConsecutiveLossesQuarantineForAWhile(t *testing.T) {
	tracker := newTracker(lossAt("a", 0, 10), lossAt("b", 10, 20))
	assert.Assert(t, tracker.Verdict(request, at(20)).Suspected())
	assert.Assert(t, !tracker.Verdict(request, at(20)).Quarantined())
	tracker.RecordLoss(request, lossAt("c", 500, 510))
	assert.Assert(t, tracker.Verdict(request, at(600)).Quarantined())
	assert.Assert(t, !tracker.Verdict(request, at(510).Add(QuarantineTime)).Suspected())
	assert.Equal(t, len(tracker.lost), 0)
}

// Guards against a quarantine because of one server that breaks off many connections.
func TestOneRunOfAServerIsLostOnce(t *testing.T) {
	tracker := newTracker(lossAt("a", 0, 10), lossAt("a", 10, 20), lossAt("a", 20, 30), lossAt("a", 30, 40))
	assert.Equal(t, tracker.Verdict(request, at(50)).Losses, 1)
}

// Guards against losing count, and against suspects that grow without bound, when a request
// takes down many servers side by side before it takes down others one after the other.
func TestManyLossesSideBySideLeaveRoomForLaterOnes(t *testing.T) {
	tracker := newTracker()
	for n := range 5 * maxLossesKept {
		tracker.RecordLoss(request, lossAt(fmt.Sprint("first ", n), 0, 10))
	}
	tracker.RecordLoss(request, lossAt("second", 10, 20))
	tracker.RecordLoss(request, lossAt("third", 500, 510))
	assert.Assert(t, tracker.Verdict(request, at(600)).Quarantined())
	assert.Assert(t, len(tracker.suspects[request].Losses) <= maxLossesKept)
	assert.Equal(t, len(tracker.lost), len(tracker.suspects[request].Losses))
}

// Guards against suspicion of a request that a server has answered.
func TestReplyClearsTheRequest(t *testing.T) {
	tracker := newTracker(lossAt("a", 0, 10))
	tracker.RecordReply(request, at(20))
	assert.Assert(t, !tracker.Verdict(request, at(20)).Suspected())
}

// Guards against a quarantine of a request that many callers repeat, because an outage of its
// servers ends several of its attempts one after the other, here or at other instances.
func TestRequestThatSucceededLatelyIsNotSuspected(t *testing.T) {
	tracker := newTracker()
	tracker.RecordReply(request, at(0))
	losses := []Loss{lossAt("a", 0, 10), lossAt("b", 10, 20), lossAt("c", 20, 30)}
	for _, loss := range losses {
		tracker.RecordLoss(request, loss)
	}
	assert.Assert(t, !tracker.Merge(Suspect{Fingerprint: request, Losses: losses}))
	assert.Assert(t, !tracker.Verdict(request, at(40)).Suspected())
	later := int(shieldTime.Milliseconds())
	for n, server := range []string{"a", "b", "c"} {
		tracker.RecordLoss(request, lossAt(server, later+10*n, later+10*n+10))
	}
	assert.Assert(t, tracker.Verdict(request, at(later+40)).Quarantined())
}

// Guards against taking the loss of a connection for the loss of its server, and against
// taking a restarted server, or a reply that was already on its way, for one that stayed up.
func TestServerThatAnswersSoonHasNotCrashed(t *testing.T) {
	for name, c := range map[string]struct {
		began int
		left  int
	}{
		"attempt after the loss":  {began: 15, left: 1},
		"attempt before the loss": {began: 9, left: 2},
		"after a restart":         {began: 10 + int(restartTime.Milliseconds()), left: 2},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newTracker(lossAt("a", 0, 10), lossAt("b", 10, 20))
			tracker.RecordAlive("a", at(c.began))
			assert.Equal(t, tracker.Verdict(request, at(30)).Losses, c.left)
		})
	}
}

// Guards against instances that keep a harmless request in quarantine, or put it back there,
// although one of them has seen that the servers are alive.
func TestRefutationReachesTheOtherInstances(t *testing.T) {
	losses := []Loss{lossAt("a", 0, 10), lossAt("b", 10, 20), lossAt("c", 20, 30)}
	one, other := newTracker(losses...), newTracker(losses...)
	one.RecordAlive("b", at(40))
	assert.Assert(t, !one.Verdict(request, at(50)).Quarantined())
	for range 2 {
		for _, s := range other.Shared(at(50)) {
			assert.Assert(t, !one.Merge(s))
		}
		for _, s := range one.Shared(at(50)) {
			other.Merge(s)
		}
		for _, tracker := range []*Tracker{one, other} {
			assert.Equal(t, tracker.Verdict(request, at(50)).Losses, MaxLosses-1)
		}
	}
}

// Guards against suspects that grow without bound.
func TestSuspectsAreBounded(t *testing.T) {
	tracker := newTracker()
	for n := range maxSuspects + 10 {
		tracker.RecordLoss(uint64(n+1), lossAt("a", n, n+1))
	}
	assert.Equal(t, len(tracker.suspects), maxSuspects)
	assert.Equal(t, len(tracker.order), maxSuspects)
	assert.Assert(t, !tracker.Verdict(1, at(5)).Suspected())
}

// Guards against instances that judge a request differently although they know the same
// losses, in whatever order these reached them.
func TestOrderOfReportsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, maxLossesKept).Draw(t, "losses")
		losses := make([]Loss, n)
		end := 0
		for i := range losses {
			end += rapid.IntRange(1, 50).Draw(t, "gap")
			began := max(0, end-rapid.IntRange(1, 60).Draw(t, "took"))
			losses[i] = lossAt(string(rune('a'+i)), began, end)
		}
		one, other := newTracker(losses...), newTracker()
		for _, loss := range rapid.Permutation(losses).Draw(t, "order") {
			other.Merge(Suspect{Fingerprint: request, Losses: []Loss{loss}})
		}
		assert.Equal(t, other.Verdict(request, at(end)), one.Verdict(request, at(end)))
		known, _ := one.Suspect(request, at(end))
		assert.Assert(t, !other.Merge(known), "the same losses are new a second time")
	})
}

// Guards against log lines that miss a verdict, or repeat one that has not changed.
func TestChangesOfTheVerdictAreReported(t *testing.T) {
	var changes []Change
	tracker := NewTracker(func(c Change) { changes = append(changes, c) })
	tracker.RecordLoss(request, lossAt("a", 0, 10))
	tracker.RecordLoss(request, lossAt("b", 0, 10))
	tracker.Merge(Suspect{Fingerprint: request, Losses: []Loss{lossAt("c", 11, 20), lossAt("d", 21, 30)}})
	var got []int
	for _, c := range changes {
		got = append(got, c.Verdict.Losses)
	}
	assert.DeepEqual(t, got, []int{1, 2, 3, 4})
	assert.DeepEqual(t, []bool{changes[0].Reported, changes[1].Reported, changes[2].Reported}, []bool{false, false, true})
	assert.Equal(t, len(tracker.Shared(at(30))), 1)
}

// Guards against one loss that quarantines a request although other instances would know of an
// earlier quarantine, a server answers, the request goes on or another cause is likely; and against a
// quarantine that other instances do not learn of.
func TestOneLossMayQuarantineWithoutHistory(t *testing.T) {
	for name, c := range map[string]struct {
		history     time.Duration
		change      func(*Tracker)
		quarantined bool
	}{
		"unanswered":                {change: func(t *Tracker) { t.RecordUnanswered(request) }, quarantined: true},
		"goes on":                   {change: func(*Tracker) {}},
		"history is long":           {history: QuarantineTime, change: func(t *Tracker) { t.RecordUnanswered(request) }},
		"history is taken over":     {change: func(t *Tracker) { t.RecordUnanswered(request); t.MergeHistory(QuarantineTime, at(30)) }},
		"shorter one is taken over": {change: func(t *Tracker) { t.RecordUnanswered(request); t.MergeHistory(time.Second, at(30)) }, quarantined: true},
		"server answers":            {change: func(t *Tracker) { t.RecordUnanswered(request); t.RecordAlive("a", at(20)) }},
		"request succeeds":          {change: func(t *Tracker) { t.RecordUnanswered(request); t.RecordReply(request, at(20)) }},
		"other server is lost": {change: func(t *Tracker) {
			t.RecordUnanswered(request)
			t.RecordLoss(request+1, lossAt("b", 0, 500))
		}},
		"it has lost the other": {change: func(t *Tracker) {
			t.RecordUnanswered(request)
			t.RecordLoss(request+1, lossAt("b", 0, 500))
			t.RecordLoss(request, lossAt("b", 0, 500))
		}, quarantined: true},
		"other is lost later": {change: func(t *Tracker) {
			t.RecordUnanswered(request)
			t.RecordLoss(request+1, lossAt("b", 0, 1500))
		}, quarantined: true},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker(func(Change) {})
			tracker.BeginHistory(at(0).Add(-c.history))
			tracker.RecordLoss(request, lossAt("a", 0, 10))
			c.change(tracker)
			assert.Equal(t, tracker.Verdict(request, at(2000)).Quarantined(), c.quarantined)
			other := NewTracker(func(Change) {})
			other.BeginHistory(at(0))
			for _, s := range tracker.Shared(at(2000)) {
				other.Merge(s)
			}
			assert.Equal(t, other.Verdict(request, at(2000)).Quarantined(), c.quarantined)
		})
	}
}
