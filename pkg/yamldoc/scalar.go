package yamldoc

import (
	"regexp"
	"strconv"
	"time"

	"go.yaml.in/yaml/v3"
)

// maxStringBytes bounds names and addresses; texts have no bound of their own.
const maxStringBytes = 4096

// text reads a string without further checks.
func (v Value) text(target *string) bool {
	if !v.scalar("a string", "!!str") {
		return false
	}
	*target = v.node.Value
	return true
}

// String reads a non-empty string of at most 4096 bytes.
func (v Value) String(target *string) {
	var s string
	if !v.text(&s) {
		return
	}
	if s == "" {
		v.Fail("must not be empty")
		return
	}
	if len(s) > maxStringBytes {
		v.Fail("is longer than %d bytes", maxStringBytes)
		return
	}
	*target = s
}

// Text reads a string of any content and length.
func (v Value) Text(target *string) {
	v.text(target)
}

// Match reads a string that matches the pattern; what describes it in words.
func (v Value) Match(target *string, pattern *regexp.Regexp, what string) {
	var s string
	if !v.text(&s) {
		return
	}
	if !pattern.MatchString(s) {
		v.Fail("%q is not %s", s, what)
		return
	}
	*target = s
}

// Int64 reads a decimal integer within a range.
func (v Value) Int64(target *int64, r Range[int64]) {
	if !v.scalar("an integer", "!!int") {
		return
	}
	n, err := strconv.ParseInt(v.node.Value, 10, 64)
	if err != nil {
		v.Fail("%q is not a decimal integer of 64 bits", v.node.Value)
		return
	}
	if !r.Contains(n) {
		v.Fail("%d is not in the range %v", n, r)
		return
	}
	*target = n
}

// Int reads a decimal integer within a range.
func (v Value) Int(target *int, r Range[int]) {
	n := int64(*target)
	v.Int64(&n, Range[int64]{Min: int64(r.Min), Max: int64(r.Max)})
	*target = int(n)
}

// Float reads a number within a range.
func (v Value) Float(target *float64, r Range[float64]) {
	if !v.scalar("a number", "!!float", "!!int") {
		return
	}
	f, err := strconv.ParseFloat(v.node.Value, 64)
	if err != nil {
		v.Fail("%q is not a decimal number", v.node.Value)
		return
	}
	if !r.Contains(f) {
		v.Fail("%v is not in the range %v", f, r)
		return
	}
	*target = f
}

// Bool reads true or false.
func (v Value) Bool(target *bool) {
	if !v.scalar("true or false", "!!bool") {
		return
	}
	*target = v.node.Value == "true"
	if v.node.Value != "true" && v.node.Value != "false" {
		v.Fail("write true or false instead of %q", v.node.Value)
	}
}

// Duration reads a duration with a unit, such as 250ms, within a range.
func (v Value) Duration(target *time.Duration, r Range[time.Duration]) {
	if v.Present() && v.node.Kind == yaml.ScalarNode && v.node.ShortTag() == "!!int" {
		v.Fail("%q needs a unit, such as %sms", v.node.Value, v.node.Value)
		return
	}
	var s string
	if !v.text(&s) {
		return
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		v.Fail("%q is not a duration such as 250ms", s)
		return
	}
	if !r.Contains(d) {
		v.Fail("%v is not in the range %v", d, r)
		return
	}
	*target = d
}

// scalar reports whether the value is present with one of the tags, and
// records a finding when it is present with another one.
func (v Value) scalar(want string, tags ...string) bool {
	if v.node == nil {
		return false
	}
	if v.node.Kind == yaml.ScalarNode {
		tag := v.node.ShortTag()
		for _, t := range tags {
			if t == tag {
				return true
			}
		}
	}
	v.Fail("expected %s, found %s", want, kindName(v.node))
	return false
}
