package crashguard

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request by its content, whichever caller or
// instance sends it.
func Fingerprint(team, service, query string) uint64 {
	digest := xxhash.New()
	for _, part := range [...]string{team, service, query} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = digest.Write(length[:])
		_, _ = digest.WriteString(part)
	}
	return digest.Sum64()
}

// canaryShard returns the shard with the greatest hash of fingerprint and
// shard, or -1 when there is none. The choice only changes when that shard is
// removed or one with a greater hash is added.
func canaryShard(fingerprint uint64, shards []int) int {
	best := -1
	var bestHash uint64
	for _, shard := range shards {
		var key [16]byte
		binary.LittleEndian.PutUint64(key[:8], fingerprint)
		binary.LittleEndian.PutUint64(key[8:], uint64(shard))
		hash := xxhash.Sum64(key[:])
		if best < 0 || hash > bestHash {
			best, bestHash = shard, hash
		}
	}
	return best
}
