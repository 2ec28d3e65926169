package runstate

import (
	"sync"
	"testing"

	"github.com/sycamorelift/sycamorelift/internal/rapidmain"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { rapidmain.Run(m, rapidmain.Options{Checks: 100}) }

// Guards against transitions that the phases do not permit, for example a send
// after a refusal or a refusal after an answer.
func TestStateFollowsOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		oracle := "not sent"
		move := func(from, to string) bool {
			if oracle != from {
				return false
			}
			oracle = to
			return true
		}
		t.Repeat(map[string]func(*rapid.T){
			"send":    func(t *rapid.T) { assert.Equal(t, s.Send(), move("not sent", "maybe sent")) },
			"not run": func(t *rapid.T) { assert.Equal(t, s.NotRun(), move("maybe sent", "not sent")) },
			"refuse": func(t *rapid.T) {
				move("not sent", "refused")
				assert.Equal(t, s.Refuse(), oracle == "refused")
			},
			"answer run": func(t *rapid.T) {
				s.Answer(peerpb.RunState_RUN_STATE_RUN)
				move("maybe sent", "run")
			},
			"answer not run": func(t *rapid.T) {
				s.Answer(peerpb.RunState_RUN_STATE_NOT_RUN)
				move("maybe sent", "refused")
			},
			"answer unknown": func(t *rapid.T) { s.Answer(peerpb.RunState_RUN_STATE_UNKNOWN) },
			"": func(t *rapid.T) {
				want := map[string]peerpb.RunState{
					"run": peerpb.RunState_RUN_STATE_RUN, "refused": peerpb.RunState_RUN_STATE_NOT_RUN}
				assert.Equal(t, s.RunState(), want[oracle])
			},
		})
	})
}

// Guards against a send and a refusal that both succeed, which would make a
// "not run" refusal false. Exactly one of the concurrent calls may succeed.
func TestSendAndRefuseExcludeEachOther(t *testing.T) {
	const rounds = 20_000
	for round := range rounds {
		var s State
		var sentA, sentB, notRun bool
		start := make(chan struct{})
		var done sync.WaitGroup
		done.Go(func() { <-start; sentA = s.Send() })
		done.Go(func() { <-start; sentB = s.Send() })
		done.Go(func() { <-start; notRun = s.Refuse() })
		close(start)
		done.Wait()
		winners := 0
		for _, won := range []bool{sentA, sentB, notRun} {
			if won {
				winners++
			}
		}
		assert.Equal(t, winners, 1, "round %d: sends %v %v, refused %v", round, sentA, sentB, notRun)
	}
}
