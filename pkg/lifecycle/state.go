package lifecycle

// State is the state of an instance. States follow each other in this order.
type State int32

// States of an instance.
const (
	Starting State = iota // not ready; requests are served as far as possible
	Ready                 // requests are served
	Draining              // readiness fails; requests that still arrive are served
	Refusing              // requests in flight are served; new ones of callers are refused
	Closed                // no request is in flight; new ones are refused
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
	case Refusing:
		return "refusing"
	case Closed:
		return "closed"
	default:
		return "invalid"
	}
}
