package standin

import "time"

// ServiceSpec describes the backend servers of one service.
type ServiceSpec struct {
	Team         string
	Name         string
	Submission   bool // serves submissions as well as searches
	Shards       int
	Replicas     int
	Slots        int           // concurrent requests per backend server
	Connections  int           // connections per backend server
	ConnectDelay time.Duration // until a new connection answers
	Documents    int           // candidate documents, all shards together
	Time         ServiceTime
}

// Capacity returns the searches per second that the service's slots can serve
// when every search touches every shard once.
func (s ServiceSpec) Capacity() float64 {
	perReplica := float64(s.Slots) / s.Time.Mean().Seconds()
	return perReplica * float64(s.Replicas)
}
