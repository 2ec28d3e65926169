package membership

// State is what the platform's list says about an instance or a backend server.
type State string

// States in the platform's list.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)
