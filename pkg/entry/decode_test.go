package entry

import (
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against error texts for callers that name Go types and packages.
func TestMalformedBodyIsWordedForCallers(t *testing.T) {
	for body, want := range map[string]string{
		`{"query": 5}`:   `field "query" cannot be of type number`,
		`[]`:             `the body cannot be of type array`,
		`{"qurey": "a"}`: `unknown field "qurey"`,
		`{"query"`:       `the body ends too early`,
		``:               `the body ends too early`,
	} {
		var into searchBody
		err := decodeBody(httptest.NewRequest("POST", "/", strings.NewReader(body)), &into)
		assert.ErrorContains(t, err, want)
		for _, name := range []string{"json:", "Go ", "searchBody", "EOF"} {
			assert.Assert(t, !strings.Contains(err.Error(), name), err.Error())
		}
	}
}
