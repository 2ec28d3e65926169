package configclient

// Change is the reply of a watch: the service's revision and the revision of
// every key. Keys is empty when nothing changed.
type Change struct {
	Revision int64            `json:"revision"`
	Keys     map[string]int64 `json:"keys"`
}
