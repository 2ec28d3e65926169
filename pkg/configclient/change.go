package configclient

// Change is the reply to a watch. It holds the service's revision and the revision
// of every key; Keys is empty if no key has changed.
type Change struct {
	Revision int64            `json:"revision"`
	Keys     map[string]int64 `json:"keys"`
}
