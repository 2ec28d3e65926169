package standin

import (
	"sort"

	"github.com/sycamorelift/sycamorelift/pkg/snapshot"
)

// shardIndex is what one shard serves of one snapshot. Hits are encoded once,
// because encoding them per request would dominate the cost of a search.
type shardIndex struct {
	partition snapshot.Partition
	ranked    []Document // best first, ties by key
	encoded   [][]byte   // JSON of ranked
}

func newShardIndex(partition snapshot.Partition, documents []Document) *shardIndex {
	ranked := append([]Document(nil), documents...)
	sort.Slice(ranked, func(a, b int) bool {
		if ranked[a].Score != ranked[b].Score {
			return ranked[a].Score > ranked[b].Score
		}
		return ranked[a].Key < ranked[b].Key
	})
	index := &shardIndex{partition: partition, ranked: ranked}
	for _, document := range ranked {
		index.encoded = append(index.encoded, mustJSON(document))
	}
	return index
}

// hits returns the JSON array of the best matching documents.
func (s *shardIndex) hits(query Query, limit int) []byte {
	out := []byte{'['}
	found := 0
	for i, document := range s.ranked {
		if found == limit {
			break
		}
		if !query.Matches(document.Key) {
			continue
		}
		if found > 0 {
			out = append(out, ',')
		}
		out = append(out, s.encoded[i]...)
		found++
	}
	return append(out, ']')
}
