package controlplane

import (
	"cmp"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// Version identifies a document. Documents of the same key are ordered by revision,
// then by digest. The revision of a bundle is its signed version; the revision of
// another document is that of the configuration service.
type Version struct {
	Key      string
	Revision int64
	Digest   string
}

// Compare returns -1, 0 or 1 if v is lower than, equal to or higher than o.
// The keys must be equal.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Revision, o.Revision), cmp.Compare(v.Digest, o.Digest))
}

func (v Version) toProto() *peerpb.DocumentVersion {
	return &peerpb.DocumentVersion{Key: v.Key, Revision: v.Revision, Digest: v.Digest}
}

func versionFromProto(m *peerpb.DocumentVersion) Version {
	return Version{Key: m.GetKey(), Revision: m.GetRevision(), Digest: m.GetDigest()}
}
