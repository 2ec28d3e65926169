// Package membership keeps an instance's view of the other instances and of the
// backend servers. It combines the platform's list, which lags behind, with
// drain notices and with the failed calls of this instance.
package membership

// Members is the control document "members" that the platform publishes.
type Members struct {
	Instances      []Instance      `json:"instances"`
	BackendServers []BackendServer `json:"backend_servers"`
}
