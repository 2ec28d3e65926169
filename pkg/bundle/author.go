package bundle

import (
	"io"

	"github.com/rotisserie/eris"
)

// Author holds generated keys and publishes bundles signed with them, for
// tests and demonstrations.
type Author struct {
	keys  []Key
	trust Trust
}

// NewAuthor generates a key for each of the persons, whose public keys it
// fills in. Without persons there is one who may sign everything.
func NewAuthor(random io.Reader, persons ...Signer) (*Author, error) {
	if len(persons) == 0 {
		persons = []Signer{{Name: "Bundle Author", Sections: []string{AnySection}, MayRelease: true}}
	}
	a := &Author{}
	for _, person := range persons {
		key, err := GenerateKey(person.Name, random)
		if err != nil {
			return nil, err
		}
		person.PublicKey = key.Public()
		a.keys = append(a.keys, key)
		a.trust.Signers = append(a.trust.Signers, person)
	}
	return a, nil
}

// Trust returns the trust under which the author's bundles verify.
func (a *Author) Trust() Trust { return a.trust }

// Keys returns the private keys, in the order of the persons.
func (a *Author) Keys() []Key { return a.keys }

// Publish signs every section of an unsigned bundle with each person who may,
// releases it and returns the envelope. The error is a finding.List when the
// payload has findings.
func (a *Author) Publish(payload []byte) ([]byte, error) {
	e, err := NewEnvelope("payload", payload, nil)
	if err != nil {
		return nil, err
	}
	for i, signer := range a.trust.Signers {
		if err := a.sign(e, signer, a.keys[i]); err != nil {
			return nil, err
		}
	}
	if e.Release.Person == "" {
		return nil, eris.New("none of the author's persons may release bundles")
	}
	return e.Encode()
}

func (a *Author) sign(e *Envelope, signer Signer, key Key) error {
	for _, s := range e.Sections {
		if !signer.maySign(s.Name) {
			continue
		}
		if err := e.SignSection(s.Name, key); err != nil {
			return err
		}
	}
	if signer.MayRelease {
		e.SignRelease(key)
	}
	return nil
}
