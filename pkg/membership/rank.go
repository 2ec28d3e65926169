package membership

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// candidate is an instance with the hash of its id, computed once per list.
type candidate struct {
	Instance
	hash uint64
}

// newCandidate hashes the instance's id.
func newCandidate(instance Instance) candidate {
	return candidate{Instance: instance, hash: xxhash.Sum64String(instance.ID)}
}

// Rank returns the n instances with the highest rendezvous weight for key,
// highest first. All instances that hold the same list compute the same order.
func Rank(key string, instances []Instance, n int) []Instance {
	candidates := make([]candidate, 0, len(instances))
	for _, instance := range instances {
		candidates = append(candidates, newCandidate(instance))
	}
	return top(nil, xxhash.Sum64String(key), candidates, n)
}

// top appends to ranked the highest weighted candidates for keyHash until
// ranked holds n instances. It keeps a sorted prefix instead of sorting all
// candidates, because n is 2 or 3 and candidates are many.
func top(ranked []Instance, keyHash uint64, candidates []candidate, n int) []Instance {
	var best [maxRanks]*candidate
	var weights [maxRanks]uint64
	want := min(n-len(ranked), maxRanks)
	held := 0
	for i := range candidates {
		c := &candidates[i]
		w := weight(keyHash, c.hash)
		if held == want && (want <= 0 || w <= weights[held-1]) {
			continue
		}
		held = min(held+1, want)
		at := held - 1
		for at > 0 && weights[at-1] < w {
			best[at], weights[at] = best[at-1], weights[at-1]
			at--
		}
		best[at], weights[at] = c, w
	}
	for i := range held {
		ranked = append(ranked, best[i].Instance)
	}
	return ranked
}

// weight mixes both hashes with the finalizer of MurmurHash3, so that each
// pair has an independent, uniformly distributed weight.
func weight(keyHash, instanceHash uint64) uint64 {
	x := keyHash ^ bits.RotateLeft64(instanceHash, 32)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
