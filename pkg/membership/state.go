package membership

// State is the platform's statement about an instance or a backend server.
type State string

// States of the platform's list.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)
