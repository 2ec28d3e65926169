package crashguard

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
)

// Fingerprint identifies a request by the parts of its content. It does not depend
// on the caller or on the instance that handles the request.
func Fingerprint(parts ...string) uint64 { return nonZero(digest(parts)) }

// FingerprintWithBody returns the Fingerprint of the parts followed by a body, which it does not
// copy.
func FingerprintWithBody(body []byte, parts ...string) uint64 {
	d := digest(parts)
	writeLength(d, len(body))
	_, _ = d.Write(body)
	return nonZero(d)
}

// nonZero returns the sum. Report uses 0 for "no request".
func nonZero(d *xxhash.Digest) uint64 { return max(d.Sum64(), 1) }

func digest(parts []string) *xxhash.Digest {
	d := xxhash.New()
	for _, part := range parts {
		writeLength(d, len(part))
		_, _ = d.WriteString(part)
	}
	return d
}

func writeLength(d *xxhash.Digest, n int) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(n))
	_, _ = d.Write(length[:])
}

// FormatFingerprint returns the hexadecimal form of a fingerprint that logs and
// error messages show.
func FormatFingerprint(fingerprint uint64) string {
	return fmt.Sprintf("%016x", fingerprint)
}

// canaryShard returns the shard with the highest rendezvous weight for the
// fingerprint, or -1 when shards is empty. The result changes only when that
// shard is removed or a shard with a higher weight is added.
func canaryShard(fingerprint uint64, shards []int) int {
	best := -1
	var bestWeight uint64
	for _, shard := range shards {
		weight := rendezvousWeight(fingerprint, uint64(shard))
		if best < 0 || weight > bestWeight {
			best, bestWeight = shard, weight
		}
	}
	return best
}

// canaryReplicas returns the replicas by descending rendezvous weight for the
// fingerprint.
func canaryReplicas(fingerprint uint64, replicas []membership.BackendServer) []membership.BackendServer {
	ordered := slices.Clone(replicas)
	slices.SortFunc(ordered, func(a, b membership.BackendServer) int {
		byWeight := cmp.Compare(rendezvousWeight(fingerprint, xxhash.Sum64String(b.ID)), rendezvousWeight(fingerprint, xxhash.Sum64String(a.ID)))
		return cmp.Or(byWeight, cmp.Compare(a.ID, b.ID))
	})
	return ordered
}

// rendezvousWeight returns the weight of a candidate, which is a shard number or
// the hash of a replica's id, for a fingerprint.
func rendezvousWeight(fingerprint, candidate uint64) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], fingerprint)
	binary.LittleEndian.PutUint64(key[8:], candidate)
	return xxhash.Sum64(key[:])
}
