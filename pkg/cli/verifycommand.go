package cli

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
	"github.com/sycamorelift/sycamorelift/pkg/settings"
)

type verifyCommand struct {
	Streams  Streams `no-flag:"true"`
	Trust    string  `long:"trust" description:"file with the trusted signers"`
	Settings string  `long:"settings" description:"instance settings with the trusted signers"`
	output
	Args struct {
		Bundle string `positional-arg-name:"BUNDLE" description:"published bundle"`
	} `positional-args:"yes" required:"yes"`
}

type verifyResult struct {
	Bundle  string            `json:"bundle"`
	Version int64             `json:"version"`
	Digest  string            `json:"digest"`
	Signers map[string]string `json:"signers"` // person by section
}

// Execute verifies the bundle.
func (c *verifyCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if (c.Trust == "") == (c.Settings == "") {
		return usageError("give either --trust or --settings")
	}
	trust, err := c.trust()
	if err != nil {
		return err
	}
	data, err := readFile(c.Args.Bundle)
	if err != nil {
		return eris.Wrap(err, "read bundle")
	}
	v, err := bundle.VerifyFile(c.Args.Bundle, data, trust)
	if err != nil {
		return err
	}
	result := verifyResult{Bundle: c.Args.Bundle, Version: v.Version(), Digest: v.Digest, Signers: v.Signers}
	return c.write(c.Streams.Out, result, result.text)
}

func (c *verifyCommand) trust() (bundle.Trust, error) {
	if c.Settings != "" {
		s, err := settings.Load(c.Settings)
		if err != nil {
			return bundle.Trust{}, err
		}
		return s.Trust, nil
	}
	data, err := readFile(c.Trust)
	if err != nil {
		return bundle.Trust{}, eris.Wrap(err, "read trusted signers")
	}
	return bundle.ReadTrust(c.Trust, data)
}

func (r verifyResult) text(w io.Writer) error {
	_, err := fmt.Fprintf(w, "version %d, digest %s\n", r.Version, r.Digest)
	for _, section := range slices.Sorted(maps.Keys(r.Signers)) {
		if err == nil {
			_, err = fmt.Fprintf(w, "%s: %s\n", section, r.Signers[section])
		}
	}
	return err
}
