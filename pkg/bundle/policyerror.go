package bundle

import "fmt"

// PolicyErrorKind tells why no policy applies to a request.
type PolicyErrorKind string

// Kinds of PolicyError.
const (
	UnknownTeam       PolicyErrorKind = "unknown-team"
	UnknownService    PolicyErrorKind = "unknown-service"
	UnknownCaller     PolicyErrorKind = "unknown-caller"
	ServiceNotAllowed PolicyErrorKind = "service-not-allowed" // the caller's class may not use it
)

// PolicyError reports a request to which no policy applies. It never holds the
// token.
type PolicyError struct {
	Kind    PolicyErrorKind
	Team    string
	Service string
	Class   string // set for ServiceNotAllowed
}

// Error describes the request in words.
func (e *PolicyError) Error() string {
	switch e.Kind {
	case UnknownTeam:
		return fmt.Sprintf("there is no team %q", e.Team)
	case UnknownService:
		return fmt.Sprintf("team %q has no service %q", e.Team, e.Service)
	case ServiceNotAllowed:
		return fmt.Sprintf("class %q may not use service %q of team %q", e.Class, e.Service, e.Team)
	}
	return fmt.Sprintf("the token belongs to no caller of team %q", e.Team)
}
