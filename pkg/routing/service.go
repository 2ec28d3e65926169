package routing

// Service is a group of equivalent backend servers.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // connections that one of its backend servers accepts from all instances together
}
