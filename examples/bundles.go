package examples

import (
	"embed"

	"github.com/rotisserie/eris"
)

//go:embed office/bundle.yaml agenda-serena/bundle.yaml
var bundles embed.FS

// Bundle returns the unsigned bundle of an example, named office or
// agenda-serena. The demonstration runs under it.
func Bundle(name string) ([]byte, error) {
	data, err := bundles.ReadFile(name + "/bundle.yaml")
	return data, eris.Wrapf(err, "example bundle %q", name)
}

// Token returns the token of a caller of an example bundle.
func Token(caller string) string { return "example-token-of-" + caller }
