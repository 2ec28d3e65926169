package lifecycle

// State is the phase of an instance. Phases follow each other in this order.
type State int32

// Phases of an instance.
const (
	Starting State = iota // not ready to serve; requests are served as well as possible
	Ready                 // serving
	Draining              // readiness fails; requests that still arrive are served
	Closed                // no request is in flight, and none is served any more
)

// String returns the name of the state in lower case.
func (s State) String() string {
	switch s {
	case Starting:
		return "starting"
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Closed:
		return "closed"
	default:
		return "invalid"
	}
}
