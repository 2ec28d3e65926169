package bundle

import (
	"crypto/sha256"
	"encoding/hex"
)

// teamIndex holds the policies of a team, resolved once per bundle, so that a
// request costs one hash of its token and a few map reads.
type teamIndex struct {
	services map[string]bool
	callers  map[[sha256.Size]byte]*callerIndex
}

type callerIndex struct {
	class    string
	policies map[string]*Policy // by service
}

func indexTeams(b *Bundle, digest string) map[string]*teamIndex {
	teams := make(map[string]*teamIndex, len(b.Teams))
	for i := range b.Teams {
		teams[b.Teams[i].Name] = indexTeam(b, &b.Teams[i], digest)
	}
	return teams
}

func indexTeam(b *Bundle, t *Team, digest string) *teamIndex {
	index := &teamIndex{services: map[string]bool{}, callers: map[[sha256.Size]byte]*callerIndex{}}
	for _, s := range t.Services {
		index.services[s.Name] = true
	}
	for _, c := range t.Callers {
		class, _ := t.class(c.Class)
		caller := &callerIndex{class: c.Class, policies: map[string]*Policy{}}
		for _, name := range class.Services {
			service, _ := t.service(name)
			policy := resolve(service, class)
			policy.BundleVersion, policy.BundleDigest = b.Version, digest
			policy.Team, policy.Caller = t.Name, c.Name
			caller.policies[name] = &policy
		}
		index.callers[c.tokenKey()] = caller
	}
	return index
}

func (c Caller) tokenKey() [sha256.Size]byte {
	var key [sha256.Size]byte
	// The pattern of token_sha256 guarantees 64 hexadecimal digits.
	_, _ = hex.Decode(key[:], []byte(c.TokenSHA256))
	return key
}

// resolve combines a service and a class.
func resolve(s Service, c Class) Policy {
	return Policy{
		Service:       s.Name,
		Class:         c.Name,
		Kind:          s.Kind,
		Priority:      c.Priority,
		Deadline:      min(c.Deadline, s.Deadline),
		MinCoverage:   c.MinCoverage,
		HedgeQuantile: s.Hedge.Quantile,
		HedgeBudget:   s.Hedge.Budget,
		Canary:        s.Canary.Enabled,
		CanaryMaxWait: s.Canary.MaxWait,
		CrashLimit:    s.CrashLimit,
		Slots:         s.Slots,
		Connections:   s.Connections,
		Rules:         c.Rules,
	}
}
