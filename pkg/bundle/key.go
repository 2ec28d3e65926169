package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"io"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"github.com/sycamorelift/sycamorelift/pkg/yamldoc"
)

// Key is a person's private signing key.
type Key struct {
	Person  string
	Private ed25519.PrivateKey
}

// GenerateKey makes a key from a source of randomness.
func GenerateKey(person string, random io.Reader) (Key, error) {
	seed := make([]byte, ed25519.SeedSize)
	if _, err := io.ReadFull(random, seed); err != nil {
		return Key{}, eris.Wrap(err, "generate signing key")
	}
	return Key{Person: person, Private: ed25519.NewKeyFromSeed(seed)}, nil
}

// Public returns the public key.
func (k Key) Public() ed25519.PublicKey {
	return k.Private.Public().(ed25519.PublicKey)
}

func (k Key) sign(statement []byte) SignOff {
	return SignOff{Person: k.Person, Signature: ed25519.Sign(k.Private, statement)}
}

type keyFile struct {
	Person  string `yaml:"person"`
	Private string `yaml:"private_key"`
}

// Encode returns the key as the YAML text that ReadKey reads.
func (k Key) Encode() ([]byte, error) {
	f := keyFile{Person: k.Person, Private: base64.StdEncoding.EncodeToString(k.Private.Seed())}
	data, err := yaml.Marshal(f)
	return data, eris.Wrap(err, "encode signing key")
}

// ReadKey reads a private key. The error is a finding.List.
func ReadKey(file string, data []byte) (Key, error) {
	var k Key
	var text string
	doc := yamldoc.Parse(file, data)
	o := doc.Root("").Object()
	o.Required("person").Match(&k.Person, personPattern, personRule)
	private := o.Required("private_key")
	private.String(&text)
	o.Close()
	if text != "" {
		if seed := decodeKey(private, text, ed25519.SeedSize); seed != nil {
			k.Private = ed25519.NewKeyFromSeed(seed)
		}
	}
	if err := doc.Findings().Err(); err != nil {
		return Key{}, err
	}
	return k, nil
}
