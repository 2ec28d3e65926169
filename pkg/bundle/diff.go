package bundle

import (
	"cmp"
	"slices"
)

// Change is one field that differs between two bundles. Before is empty for an
// added field and After for a removed one.
type Change struct {
	Path   string `json:"path"` // by names, for example teams.office.classes.clerk.priority
	Before string `json:"before"`
	After  string `json:"after"`
}

// Diff compares two bundles field by field, in order of path. Teams, services,
// classes, callers and rules are matched by name.
func Diff(before, after *Bundle) []Change {
	a, b := fieldsOf(before), fieldsOf(after)
	var changes []Change
	for path, value := range a {
		if b[path] != value {
			changes = append(changes, Change{Path: path, Before: value, After: b[path]})
		}
	}
	for path, value := range b {
		if _, both := a[path]; !both {
			changes = append(changes, Change{Path: path, After: value})
		}
	}
	slices.SortFunc(changes, func(x, y Change) int { return cmp.Compare(x.Path, y.Path) })
	return changes
}
