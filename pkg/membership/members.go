// Package membership keeps an instance's view of the other instances and of
// the backend servers: the platform's list, which lags, combined with drain
// notices and failures that instances observe themselves.
package membership

// Members is the control document members, as the platform publishes it.
type Members struct {
	Instances      []Instance      `json:"instances"`
	BackendServers []BackendServer `json:"backend_servers"`
}
