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

// Guards against coverage that differs from what was merged when shards fail,
// answer late or answer twice, or when a reply differs from the manifest. The
// test recounts the documents after every step.
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
				err := account.AddReply(reply)
				assert.Equal(t, err == nil, known)
				if known {
					answered[shard] = true
					delete(failed, shard)
				}
			case 1:
				wrong := snapshot.Partition{Shard: shard, From: "other"}
				var mismatch *MismatchError
				assert.Assert(t, errors.As(account.AddReply(wrong), &mismatch))
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
	var coveredDocuments, totalDocuments, failedDocuments int64
	missingShards := 0
	for _, p := range s.Partitions {
		totalDocuments += p.Documents
		if answered[p.Shard] {
			coveredDocuments += p.Documents
		} else {
			missingShards++
		}
		if failed[p.Shard] {
			failedDocuments += p.Documents
		}
	}
	report := account.Report("pending")
	assert.Equal(t, report.Documents, coveredDocuments)
	assert.Equal(t, report.DocumentsTotal, totalDocuments)
	assert.Equal(t, report.Complete, missingShards == 0)
	assert.Equal(t, len(report.Missing), missingShards)
	assert.Equal(t, account.Reachable(), fraction(totalDocuments-failedDocuments, totalDocuments))
	for _, m := range report.Missing {
		want := Reason("pending")
		if failed[m.Shard] {
			want = "lost"
		}
		assert.Equal(t, m.Reason, want)
	}
}
