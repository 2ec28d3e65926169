package crashguard

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
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
	return max(digest.Sum64(), 1) // 0 is reserved, see Report
}

// FormatFingerprint returns the hexadecimal form in which logs and refusals name
// a request.
func FormatFingerprint(fingerprint uint64) string {
	return fmt.Sprintf("%016x", fingerprint)
}

// canaryShard returns the shard with the greatest hash of fingerprint and
// shard, or -1 when there is none. The choice only changes when that shard is
// removed or one with a greater hash is added.
func canaryShard(fingerprint uint64, shards []int) int {
	best := -1
	var bestHash uint64
	for _, shard := range shards {
		hash := mix(fingerprint, uint64(shard))
		if best < 0 || hash > bestHash {
			best, bestHash = shard, hash
		}
	}
	return best
}

func canaryReplicas(fingerprint uint64, replicas []membership.BackendServer) []membership.BackendServer {
	ordered := slices.Clone(replicas)
	slices.SortFunc(ordered, func(a, b membership.BackendServer) int {
		hashes := cmp.Compare(mix(fingerprint, xxhash.Sum64String(b.ID)), mix(fingerprint, xxhash.Sum64String(a.ID)))
		return cmp.Or(hashes, cmp.Compare(a.ID, b.ID))
	})
	return ordered
}

func mix(fingerprint, part uint64) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], fingerprint)
	binary.LittleEndian.PutUint64(key[8:], part)
	return xxhash.Sum64(key[:])
}
