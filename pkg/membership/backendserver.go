package membership

// BackendServer is one replica of one shard of a service.
type BackendServer struct {
	ID      string `json:"id"`
	Team    string `json:"team"`
	Service string `json:"service"`
	Shard   int    `json:"shard"`
	Replica int    `json:"replica"`
	Region  string `json:"region,omitempty"`
	Zone    string `json:"zone"` // availability zone
	Rack    string `json:"rack,omitempty"`
	Address string `json:"address"` // IP:port
	State   State  `json:"state"`
}
