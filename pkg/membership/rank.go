package membership

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// candidate is an instance with the hash of its id, which is computed only once
// per list.
type candidate struct {
	Instance
	hash uint64
}

func newCandidate(instance Instance) candidate {
	return candidate{Instance: instance, hash: xxhash.Sum64String(instance.ID)}
}

// Rank returns the n instances with the highest rendezvous weight for key,
// highest first. Instances that have the same list compute the same order. n is
// at most maxOwners.
func Rank(key string, instances []Instance, n int) []Instance {
	candidates := make([]candidate, 0, len(instances))
	for _, instance := range instances {
		candidates = append(candidates, newCandidate(instance))
	}
	return appendTopRanked(nil, xxhash.Sum64String(key), candidates, n)
}

// appendTopRanked appends to ranked the candidates with the highest rendezvous
// weight for keyHash until ranked holds n instances. It keeps only the best few
// sorted instead of sorting all candidates, because n is 2 or 3 and there are
// many candidates.
func appendTopRanked(ranked []Instance, keyHash uint64, candidates []candidate, n int) []Instance {
	var best [maxOwners]*candidate
	var weights [maxOwners]uint64
	needed := min(n-len(ranked), maxOwners)
	kept := 0
	for i := range candidates {
		c := &candidates[i]
		w := weight(keyHash, c.hash)
		if kept == needed && (needed <= 0 || w <= weights[kept-1]) {
			continue
		}
		kept = min(kept+1, needed)
		position := kept - 1
		for position > 0 && weights[position-1] < w {
			best[position], weights[position] = best[position-1], weights[position-1]
			position--
		}
		best[position], weights[position] = c, w
	}
	for i := range kept {
		ranked = append(ranked, best[i].Instance)
	}
	return ranked
}

// weight returns the rendezvous weight of an instance for a key. It mixes both
// hashes with the finalizer of MurmurHash3, so that the weights of different
// pairs are independent and uniformly distributed.
func weight(keyHash, instanceHash uint64) uint64 {
	x := keyHash ^ bits.RotateLeft64(instanceHash, 32)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
