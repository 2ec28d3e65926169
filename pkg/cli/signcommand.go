package cli

import (
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
)

const signHelp = "Adds one person's sign-off of sections, or the release signature, to a published bundle. " +
	"With --payload, the published bundle is first made anew from an unsigned one; sign-offs of unchanged " +
	"sections are kept. Content with findings is not signed."

type signCommand struct {
	Streams  Streams  `no-flag:"true"`
	Payload  string   `long:"payload" description:"unsigned bundle to make the published one from"`
	Key      string   `long:"key" description:"file with the person's private key" required:"true"`
	Sections []string `long:"section" description:"section to sign off: platform or team/NAME; may be repeated"`
	Release  bool     `long:"release" description:"sign the release"`
	output
	Args struct {
		Bundle string `positional-arg-name:"BUNDLE" description:"published bundle; it is rewritten"`
	} `positional-args:"yes" required:"yes"`
}

type signResult struct {
	Bundle   string   `json:"bundle"`
	Version  int64    `json:"version"`
	Person   string   `json:"person"`
	Sections []string `json:"sections"`
	Released bool     `json:"released"` // by this signature
	Unsigned []string `json:"unsigned"` // sections without a sign-off
}

// Execute signs the bundle.
func (c *signCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if c.Release == (len(c.Sections) > 0) {
		return usageError("give either --section or --release")
	}
	key, err := c.key()
	if err != nil {
		return err
	}
	e, err := c.envelope()
	if err != nil {
		return err
	}
	if err := c.sign(e, key); err != nil {
		return err
	}
	data, err := e.Encode()
	if err != nil {
		return err
	}
	if err := replaceFile(c.Args.Bundle, data); err != nil {
		return eris.Wrap(err, "write bundle")
	}
	result := signResult{
		Bundle: c.Args.Bundle, Version: e.Version, Person: key.Person,
		Sections: c.Sections, Released: c.Release, Unsigned: unsigned(e),
	}
	return c.write(c.Streams.Out, result, result.text)
}

func (c *signCommand) key() (bundle.Key, error) {
	data, err := readFile(c.Key)
	if err != nil {
		return bundle.Key{}, eris.Wrap(err, "read private key")
	}
	return bundle.ReadKey(c.Key, data)
}

// envelope returns the bundle to sign, free of findings.
func (c *signCommand) envelope() (*bundle.Envelope, error) {
	e, err := readEnvelope(c.Args.Bundle)
	if err != nil {
		return nil, err
	}
	if c.Payload != "" {
		data, err := readFile(c.Payload)
		if err != nil {
			return nil, eris.Wrap(err, "read payload")
		}
		return bundle.NewEnvelope(c.Payload, data, e)
	}
	if e == nil {
		return nil, eris.Errorf("there is no bundle %s; make one with --payload", c.Args.Bundle)
	}
	_, err = e.Parse(c.Args.Bundle)
	return e, err
}

func (c *signCommand) sign(e *bundle.Envelope, key bundle.Key) error {
	for _, section := range c.Sections {
		if err := e.SignSection(section, key); err != nil {
			return err
		}
	}
	if !c.Release {
		return nil
	}
	if missing := unsigned(e); len(missing) > 0 {
		return eris.Errorf("not released: no sign-off of %v", missing)
	}
	e.SignRelease(key)
	return nil
}

// unsigned returns the sections that nobody has signed off.
func unsigned(e *bundle.Envelope) []string {
	names := []string{}
	for _, s := range e.Sections {
		if len(s.SignOffs) == 0 {
			names = append(names, s.Name)
		}
	}
	return names
}

func (r signResult) text(w io.Writer) error {
	what := fmt.Sprintf("signed %v of", r.Sections)
	if r.Released {
		what = "released"
	}
	_, err := fmt.Fprintf(w, "%s %s bundle %s, version %d\n", r.Person, what, r.Bundle, r.Version)
	if err == nil && len(r.Unsigned) > 0 {
		_, err = fmt.Fprintf(w, "still without sign-off: %v\n", r.Unsigned)
	}
	return err
}
