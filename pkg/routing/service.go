package routing

// Service is a group of backend servers that answer equally well.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // that one of its backend servers accepts from all instances together
}
