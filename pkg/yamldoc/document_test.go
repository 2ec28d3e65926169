package yamldoc

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against texts with several readings, and against findings without
// the line that the YAML library states only in its message.
func TestParseRefusesUnclearTexts(t *testing.T) {
	for text, want := range map[string]string{
		"":                        "f:1:1: the document is empty",
		"# only a comment":        "f:1:1: the document is empty",
		"a: 1\n---\nb: 2":         "f:1:1: only one YAML document is allowed",
		"a: 1\nb: [1\nc: 2":       "f:2:1: did not find expected ',' or ']'",
		"x: y\na: 1\n- b":         "f:3:1: did not find expected key",
		"a: 1\nb: 'x":             "f:2:1: found unexpected end of stream",
		"a: &x 1\nb: *x":          "f:1:4: anchors are not supported\nf:2:4: aliases are not supported",
		"a: !!str 1":              "f:1:4: tags are not supported",
		"a: 1\nb:\n  c: !x {}":    "f:3:6: tags are not supported",
		"a: \"\xff\"":             "f:1:1: invalid leading UTF-8 octet",
		"a: 1\n\tb: 2":            "f:2:1: found a tab character that violates indentation",
		"a: 1\na: 2":              "f:2:1: a: the key is given twice",
		"? [a]\n: 1":              "f:1:3: a key must be a string",
		"<<: {a: 1}":              "f:1:1: <<: unknown key; known are a",
		"a: null":                 "f:1:4: a: expected an integer, found nothing",
		"a: 0x7":                  "f:1:4: a: \"0x7\" is not a decimal integer of 64 bits",
		"a: 9":                    "f:1:4: a: 9 is not in the range 1 to 8",
		"- a":                     "f:1:1: expected a mapping, found a list",
		"a: 99999999999999999999": "f:1:4: a: expected an integer, found a number",
	} {
		doc := Parse("f", []byte(text))
		o := doc.Root("").Object()
		var n int
		o.Optional("a").Int(&n, Range[int]{Min: 1, Max: 8})
		o.Close()
		assert.Equal(t, doc.Findings().Error(), want, "%q", text)
	}
}
