package yamldoc

import (
	"fmt"
	"time"

	"go.yaml.in/yaml/v3"
)

// Value is one value of a document, or an absent one. The read methods leave
// their target alone when the value is absent or has a finding, so a target
// keeps its default.
type Value struct {
	doc  *Document
	node *yaml.Node // nil when absent
	path string
}

// Present reports whether the document holds the value.
func (v Value) Present() bool { return v.node != nil }

// Path returns the path of the value, for example teams[0].name.
func (v Value) Path() string { return v.path }

// Node returns the YAML node, nil when absent. It must not be changed.
func (v Value) Node() *yaml.Node { return v.node }

// Fail records a finding at the value.
func (v Value) Fail(format string, args ...any) {
	line, column := 1, 1
	if v.node != nil {
		line, column = v.node.Line, v.node.Column
	}
	v.doc.add(line, column, v.path, fmt.Sprintf(format, args...))
}

// Items returns the elements of a sequence.
func (v Value) Items() []Value {
	if v.node == nil {
		return nil
	}
	if v.node.Kind != yaml.SequenceNode {
		v.Fail("expected a list, found %s", kindName(v.node))
		return nil
	}
	items := make([]Value, 0, len(v.node.Content))
	for i, node := range v.node.Content {
		path := fmt.Sprintf("%s[%d]", v.path, i)
		items = append(items, Value{doc: v.doc, node: node, path: path})
	}
	return items
}

// SomeItems returns the elements of a sequence that must have at least one.
func (v Value) SomeItems() []Value {
	items := v.Items()
	if items != nil && len(items) == 0 {
		v.Fail("must have at least one element")
	}
	return items
}

// Strings reads a list of one or more different strings. The check, if any,
// is called for each of them and may record findings.
func (v Value) Strings(target *[]string, check func(item Value, s string)) {
	seen := map[string]bool{}
	var list []string
	for _, item := range v.SomeItems() {
		var s string
		item.String(&s)
		if s == "" {
			continue
		}
		if seen[s] {
			item.Fail("%q is listed twice", s)
		}
		if check != nil {
			check(item, s)
		}
		seen[s] = true
		list = append(list, s)
	}
	if v.Present() {
		*target = list
	}
}

// OneOf reads a string that must be one of the given ones.
func OneOf[T ~string](v Value, target *T, allowed ...T) {
	var s string
	if !v.text(&s) {
		return
	}
	for _, a := range allowed {
		if s == string(a) {
			*target = a
			return
		}
	}
	v.Fail("%q is not one of %v", s, allowed)
}

// kindName describes a node in words for findings.
func kindName(node *yaml.Node) string {
	switch node.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	}
	switch node.ShortTag() {
	case "!!null":
		return "nothing"
	case "!!str":
		return "a string"
	case "!!int", "!!float":
		return "a number"
	case "!!bool":
		return "a boolean"
	}
	return fmt.Sprintf("%q", node.Value)
}

// Range bounds a number or duration, both ends included.
type Range[T int | int64 | float64 | time.Duration] struct{ Min, Max T }

// Contains reports whether n lies in the range. NaN lies in none.
func (r Range[T]) Contains(n T) bool { return n >= r.Min && n <= r.Max }

// String returns the range as "MIN to MAX".
func (r Range[T]) String() string { return fmt.Sprintf("%v to %v", r.Min, r.Max) }
