// Package finding describes problems in documents that people write, such as
// settings and bundles, together with the place of each problem.
package finding

import "fmt"

// Finding is one problem at one place. Line and Column count from 1; 0 means
// that the place is not known.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Path    string `json:"path,omitempty"` // for example teams[0].classes[1].priority
	Message string `json:"message"`
}

// String returns the finding as file:line:column: path: message.
func (f Finding) String() string {
	place := fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	if f.Path == "" {
		return place + ": " + f.Message
	}
	return place + ": " + f.Path + ": " + f.Message
}
