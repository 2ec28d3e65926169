package yamldoc

import (
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Object is a mapping with a known set of keys.
type Object struct {
	value  Value
	fields map[string]field
	known  []string
}

type field struct{ key, value *yaml.Node }

// Object reads a mapping. An absent or wrong value yields an object without
// fields, about which no further findings are recorded.
func (v Value) Object() *Object {
	o := &Object{value: v, fields: map[string]field{}}
	if v.node == nil {
		return o
	}
	if v.node.Kind != yaml.MappingNode {
		v.Fail("expected a mapping, found %s", kindName(v.node))
		o.value.node = nil
		return o
	}
	for i := 0; i+1 < len(v.node.Content); i += 2 {
		o.addField(v.node.Content[i], v.node.Content[i+1])
	}
	return o
}

func (o *Object) addField(key, value *yaml.Node) {
	if key.Kind != yaml.ScalarNode {
		o.at(key, "").Fail("a key must be a string")
		return
	}
	if _, twice := o.fields[key.Value]; twice {
		o.at(key, key.Value).Fail("the key is given twice")
		return
	}
	o.fields[key.Value] = field{key: key, value: value}
}

// Required returns a field and records a finding when it is missing.
func (o *Object) Required(key string) Value {
	v := o.Optional(key)
	if !v.Present() && o.value.node != nil {
		missing := o.at(o.value.node, key)
		missing.Fail("the key is missing")
	}
	return v
}

// Optional returns a field, absent when the mapping lacks it.
func (o *Object) Optional(key string) Value {
	o.known = append(o.known, key)
	return o.at(o.fields[key].value, key)
}

// Close records the keys that nobody asked for.
func (o *Object) Close() {
	for key, f := range o.fields {
		if slices.Contains(o.known, key) {
			continue
		}
		o.at(f.key, key).Fail("unknown key; known are %s", strings.Join(o.known, ", "))
	}
}

func (o *Object) at(node *yaml.Node, key string) Value {
	path := key
	if o.value.path != "" && key != "" {
		path = o.value.path + "." + key
	}
	if key == "" {
		path = o.value.path
	}
	return Value{doc: o.value.doc, node: node, path: path}
}
