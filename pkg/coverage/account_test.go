package coverage

import (
	"errors"
	"testing"

	"github.com/sycamorelift/sycamorelift/internal/rapidmain"
	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { rapidmain.Run(m, rapidmain.Options{Checks: 300}) }

// Guards against coverage that drifts from what was merged when shards fail,
// answer late or answer twice, or when a reply differs from the manifest. The
// oracle counts documents anew after every step.
func TestAccountFollowsOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s snapshot.Snapshot
		for shard := range rapid.IntRange(0, 6).Draw(t, "shards") {
			documents := rapid.Int64Range(0, 9).Draw(t, "documents")
			s.Partitions = append(s.Partitions, snapshot.Partition{Shard: shard, Documents: documents})
		}
		account := NewAccount(s)
		answered, failed := map[int]bool{}, map[int]bool{}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			shard := rapid.IntRange(0, 7).Draw(t, "shard")
			known := shard < len(s.Partitions)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				reply := snapshot.Partition{Shard: shard}
				if known {
					reply = s.Partitions[shard]
				}
				err := account.Add(reply)
				assert.Equal(t, err == nil, known)
				if known {
					answered[shard] = true
					delete(failed, shard)
				}
			case 1:
				wrong := snapshot.Partition{Shard: shard, From: "other"}
				var mismatch *MismatchError
				assert.Assert(t, errors.As(account.Add(wrong), &mismatch))
			case 2:
				account.Fail(shard, "lost")
				if known && !answered[shard] {
					failed[shard] = true
				}
			}
			checkAccount(t, s, account, answered, failed)
		}
	})
}

func checkAccount(t *rapid.T, s snapshot.Snapshot, account *Account, answered, failed map[int]bool) {
	var covered, total, lost int64
	missing := 0
	for _, p := range s.Partitions {
		total += p.Documents
		if answered[p.Shard] {
			covered += p.Documents
		} else {
			missing++
		}
		if failed[p.Shard] {
			lost += p.Documents
		}
	}
	report := account.Report("pending")
	assert.Equal(t, report.Documents, covered)
	assert.Equal(t, report.DocumentsTotal, total)
	assert.Equal(t, report.Complete, missing == 0)
	assert.Equal(t, len(report.Missing), missing)
	assert.Equal(t, account.Reachable(), fraction(total-lost, total))
	for _, m := range report.Missing {
		want := Reason("pending")
		if failed[m.Shard] {
			want = "lost"
		}
		assert.Equal(t, m.Reason, want)
	}
}
