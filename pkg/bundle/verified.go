package bundle

import "crypto/sha256"

// Verified is a bundle whose signatures and content have been checked. It is
// read-only and may be used by any number of goroutines.
type Verified struct {
	Bundle  *Bundle
	Digest  string            // of the released content and its signers, hexadecimal
	Signers map[string]string // section name to person; the key "release" holds the releaser
	teams   map[string]*teamIndex
}

// ReleaseSigner is the key of Signers under which the releasing person stands.
const ReleaseSigner = "release"

// Version returns the bundle's version.
func (v *Verified) Version() int64 { return v.Bundle.Version }

// Revision returns the bundle's place in the order of bundles.
func (v *Verified) Revision() Revision {
	return Revision{Version: v.Bundle.Version, Digest: v.Digest}
}

// Policy returns what a request by the token's owner is decided under. The
// error is a *PolicyError. The policy's rules are shared and must not be
// changed.
func (v *Verified) Policy(team, service, token string) (Policy, error) {
	t := v.teams[team]
	if t == nil {
		return Policy{}, &PolicyError{Kind: UnknownTeam, Team: team, Service: service}
	}
	if !t.services[service] {
		return Policy{}, &PolicyError{Kind: UnknownService, Team: team, Service: service}
	}
	c := t.callers[sha256.Sum256([]byte(token))]
	if c == nil {
		return Policy{}, &PolicyError{Kind: UnknownCaller, Team: team, Service: service}
	}
	policy := c.policies[service]
	if policy == nil {
		return Policy{}, &PolicyError{Kind: ServiceNotAllowed, Team: team, Service: service, Class: c.class}
	}
	return *policy, nil
}
