package bundle

import (
	"regexp"

	"github.com/sycamorelift/sycamorelift/pkg/yamldoc"
)

// Caller is a customer of the API. The bundle holds the SHA-256 of its token,
// never the token.
type Caller struct {
	Name        string
	Class       string
	TokenSHA256 string // 64 lower-case hexadecimal digits
}

var tokenPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func parseCaller(v yamldoc.Value, classes map[string]bool, tokens *names) Caller {
	var c Caller
	o := v.Object()
	o.Required("name").Match(&c.Name, namePattern, nameRule)
	class := o.Required("class")
	class.String(&c.Class)
	if c.Class != "" && !classes[c.Class] {
		class.Fail("the team has no class %q", c.Class)
	}
	token := o.Required("token_sha256")
	token.Match(&c.TokenSHA256, tokenPattern, "64 lower-case hexadecimal digits")
	tokens.add(token, c.TokenSHA256)
	o.Close()
	return c
}
