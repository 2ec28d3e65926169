package bundle

import (
	"regexp"

	"github.com/sycamorelift/sycamorelift/pkg/yamldoc"
)

// Names appear in URL paths, signed statements and logs, so they are kept to
// characters without a meaning in any of them.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const nameRule = "a name of 1 to 63 of a-z, 0-9 and inner hyphens"

// personPattern keeps names of persons on one line of a log.
var personPattern = regexp.MustCompile(`^[^\x00-\x1f\x7f]{1,100}$`)

const personRule = "a person's name of 1 to 100 printable characters"

// names reports values that occur twice among siblings.
type names struct {
	what  string
	known map[string]bool
}

func newNames(what string) *names {
	return &names{what: what, known: map[string]bool{}}
}

func (n *names) add(v yamldoc.Value, name string) {
	if name == "" {
		return
	}
	if n.known[name] {
		v.Fail("there is another %s %q", n.what, name)
	}
	n.known[name] = true
}
