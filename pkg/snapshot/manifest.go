// Package snapshot holds index manifests and chooses the snapshot that a query
// pins. All attempts of a query carry the version of the pinned snapshot, which
// keeps an answer from mixing versions of the index.
package snapshot

// Manifest is the control document index/TEAM/SERVICE. It lists the snapshots
// that backend servers may currently serve, oldest first.
type Manifest struct {
	Team      string     `json:"team"`
	Service   string     `json:"service"`
	Snapshots []Snapshot `json:"snapshots"`
}
