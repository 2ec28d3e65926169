package bundle

import (
	"crypto/ed25519"
	"slices"

	"github.com/sycamorelift/sycamorelift/pkg/yamldoc"
)

// AnySection in Signer.Sections stands for every section.
const AnySection = "*"

// Trust lists the persons whose signatures count. It comes from an instance's
// settings, never from a bundle.
type Trust struct {
	Signers []Signer
}

// Signer is a named person with a public key.
type Signer struct {
	Name       string
	PublicKey  ed25519.PublicKey
	Sections   []string // section names, or AnySection
	MayRelease bool
}

func (s Signer) maySign(section string) bool {
	return slices.Contains(s.Sections, AnySection) || slices.Contains(s.Sections, section)
}

// signed reports whether the person signed the statement.
func (s Signer) signed(statement, signature []byte) bool {
	if len(s.PublicKey) != ed25519.PublicKeySize {
		return false
	}
	return ed25519.Verify(s.PublicKey, statement, signature)
}

func (t Trust) signer(name string) (Signer, bool) {
	for _, s := range t.Signers {
		if s.Name == name {
			return s, true
		}
	}
	return Signer{}, false
}

// ParseTrust reads a list of signers:
//
//   - name: Jana Kováčová
//     public_key: BASE64
//     sections: [platform, team/office]
//     may_release: true
func ParseTrust(v yamldoc.Value) Trust {
	var t Trust
	persons, keys := newNames("signer"), newNames("signer with key")
	for _, item := range v.SomeItems() {
		t.Signers = append(t.Signers, parseSigner(item, persons, keys))
	}
	mayRelease := func(s Signer) bool { return s.MayRelease }
	if len(t.Signers) > 0 && !slices.ContainsFunc(t.Signers, mayRelease) {
		v.Fail("nobody may release bundles")
	}
	return t
}

// ReadTrust reads a file whose only key, signers, holds the list that
// ParseTrust describes. The error is a finding.List.
func ReadTrust(file string, data []byte) (Trust, error) {
	doc := yamldoc.Parse(file, data)
	o := doc.Root("").Object()
	t := ParseTrust(o.Required("signers"))
	o.Close()
	if err := doc.Findings().Err(); err != nil {
		return Trust{}, err
	}
	return t, nil
}

func parseSigner(v yamldoc.Value, persons, keys *names) Signer {
	var s Signer
	o := v.Object()
	name := o.Required("name")
	name.Match(&s.Name, personPattern, personRule)
	persons.add(name, s.Name)
	var text string
	key := o.Required("public_key")
	key.String(&text)
	keys.add(key, text)
	if text != "" {
		s.PublicKey = decodeKey(key, text, ed25519.PublicKeySize)
	}
	o.Optional("sections").Strings(&s.Sections, func(item yamldoc.Value, section string) {
		if section != AnySection {
			checkSectionName(item, section)
		}
	})
	o.Optional("may_release").Bool(&s.MayRelease)
	o.Close()
	if len(s.Sections) == 0 && !s.MayRelease {
		v.Fail("the person may neither sign a section nor release")
	}
	return s
}
