package finding

import "strings"

// List is a collection of findings, reported together. A non-empty List is an
// error.
type List []Finding

// Error returns one finding per line.
func (l List) Error() string {
	lines := make([]string, 0, len(l))
	for _, f := range l {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil when it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}
