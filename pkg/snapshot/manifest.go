// Package snapshot holds index manifests and chooses the snapshot that a query
// pins. All attempts of a query carry the pinned snapshot, so that an answer
// reflects one version of the index.
package snapshot

// Manifest is the control document index/TEAM/SERVICE. It lists the snapshots
// that backend servers may serve at the moment, oldest first.
type Manifest struct {
	Team      string     `json:"team"`
	Service   string     `json:"service"`
	Snapshots []Snapshot `json:"snapshots"`
}
