package routing

import "time"

// Service is a group of equivalent backend servers.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // connections that one of its backend servers accepts from all instances together
	// WarmUp is how long a backend server is slow after its start; 0 is unknown.
	WarmUp time.Duration
	// WarmUpRate is the number of requests a second that one of its backend servers can take
	// from all instances together while it warms up; 0 is no limit.
	WarmUpRate float64
}
