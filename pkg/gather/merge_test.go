package gather

import (
	"bytes"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against lost, repeated or unordered records: the result must be that of
// sorting all records.
func TestMergeEqualsSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Few distinct bytes make equal records and equal prefixes likely.
		record := rapid.SliceOfN(rapid.SampledFrom([]byte{0, 1, 255}), 0, 5*RecordBytes+3)
		parts := rapid.SliceOfN(record, 0, 5).Draw(t, "parts")
		top := rapid.IntRange(0, 12).Draw(t, "top")
		var all [][]byte
		for _, part := range parts {
			for at := 0; at+RecordBytes <= len(part); at += RecordBytes {
				all = append(all, part[at:at+RecordBytes])
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(top, len(all))], nil)
		assert.DeepEqual(t, Merge(parts, top), append([]byte{}, want...))
	})
}

// Guards against answers that depend on whether a relay was used: merging parts
// that are already merged must give the same records.
func TestMergeOfMergedParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 6*RecordBytes), 1, 6).Draw(t, "parts")
		top := rapid.IntRange(1, 10).Draw(t, "top")
		split := rapid.IntRange(0, len(parts)).Draw(t, "cut")
		halves := [][]byte{Merge(parts[:split], top), Merge(parts[split:], top)}
		assert.DeepEqual(t, Merge(halves, top), Merge(parts, top))
	})
}
