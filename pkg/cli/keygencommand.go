package cli

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
)

const keygenHelp = "Writes a private signing key to a new file and the entry for the trusted signers " +
	"in the instances' settings to standard output. Keep the private key with the person."

type keygenCommand struct {
	Streams  Streams  `no-flag:"true"`
	Person   string   `long:"person" description:"name of the person who signs" required:"true"`
	Key      string   `long:"key" description:"new file for the private key" required:"true"`
	Sections []string `long:"section" description:"section that the person may sign: platform, team/NAME or *; may be repeated"`
	Release  bool     `long:"may-release" description:"the person may release bundles"`
	output
}

// trustEntry is a signer as the settings hold it.
type trustEntry struct {
	Name       string   `yaml:"name" json:"name"`
	PublicKey  string   `yaml:"public_key" json:"public_key"`
	Sections   []string `yaml:"sections,omitempty" json:"sections,omitempty"`
	MayRelease bool     `yaml:"may_release,omitempty" json:"may_release,omitempty"`
}

// Execute generates the key.
func (c *keygenCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	for _, section := range c.Sections {
		if section != bundle.AnySection && !bundle.IsSection(section) {
			return usageError("%q is not a section; sections are platform and team/NAME", section)
		}
	}
	key, err := bundle.GenerateKey(c.Person, rand.Reader)
	if err != nil {
		return err
	}
	data, err := key.Encode()
	if err != nil {
		return err
	}
	// A name that can't be read back would make the key useless.
	if _, err := bundle.ReadKey(c.Key, data); err != nil {
		return usageError("person: %v", err)
	}
	if err := createPrivate(c.Key, data); err != nil {
		return eris.Wrap(err, "write private key")
	}
	entry := trustEntry{
		Name: c.Person, PublicKey: base64.StdEncoding.EncodeToString(key.Public()),
		Sections: c.Sections, MayRelease: c.Release,
	}
	return c.write(c.Streams.Out, entry, func(w io.Writer) error {
		text, err := yaml.Marshal([]trustEntry{entry})
		if err != nil {
			return err
		}
		_, err = fmt.Fprint(w, string(text))
		return err
	})
}
