package membership

// Instance is one process of the system.
type Instance struct {
	ID      string `json:"id"`
	Region  string `json:"region,omitempty"`
	Zone    string `json:"zone"`    // availability zone
	Address string `json:"address"` // peer listener, IP:port
	State   State  `json:"state"`
}
