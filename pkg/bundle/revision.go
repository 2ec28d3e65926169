package bundle

import "cmp"

// Revision orders bundles. Two bundles published with one version differ in
// their digest, so every instance settles on the same one.
type Revision struct {
	Version int64
	Digest  string
}

// Newer reports whether a comes after b: by version, then by digest.
func Newer(a, b Revision) bool {
	return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Digest, b.Digest)) > 0
}
