package controlplane

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Document is one control document. For a bundle, Revision and Digest are the
// signed version and digest of the bundle.
type Document struct {
	Key      string
	Revision int64
	Digest   string
	Data     []byte
}

// Version returns the version by which documents of the same key are ordered.
func (d Document) Version() Version {
	return Version{Key: d.Key, Revision: d.Revision, Digest: d.Digest}
}

// contentDigest returns the digest of a document without a signature. The digest
// is short because every exchange carries it and it only has to distinguish
// different contents of the same revision.
func contentDigest(data []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(data))
}
