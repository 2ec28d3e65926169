package bundle

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	testInspectorToken = "inspector-token"
	testClerkToken     = "clerk-token"
)

// testAuthor has one person for each section and one who releases.
func testAuthor(t testing.TB) *Author {
	t.Helper()
	random := rand.NewChaCha8([32]byte{1})
	a, err := NewAuthor(random,
		Signer{Name: "Eva Platform", Sections: []string{PlatformSection}},
		Signer{Name: "Jana Office", Sections: []string{TeamSection("office")}},
		Signer{Name: "Luz Agenda", Sections: []string{TeamSection("agenda")}},
		Signer{Name: "Rado Release", MayRelease: true})
	assert.NilError(t, err)
	return a
}

func testEnvelope(t testing.TB, a *Author) *Envelope {
	t.Helper()
	data, err := a.Publish(payload(t))
	assert.NilError(t, err)
	e, err := ReadEnvelope("bundle", data)
	assert.NilError(t, err)
	return e
}

func verifyEnvelope(t testing.TB, e *Envelope, trust Trust) (*Verified, error) {
	t.Helper()
	data, err := e.Encode()
	assert.NilError(t, err)
	return Verify(data, trust)
}

// Guards against a policy that mixes up class and service values, and against
// rules without the person who answers for them.
func TestPolicyCombinesClassAndService(t *testing.T) {
	a := testAuthor(t)
	v, err := verifyEnvelope(t, testEnvelope(t, a), a.Trust())
	assert.NilError(t, err)
	p, err := v.Policy("office", "renewal-search", testInspectorToken)
	assert.NilError(t, err)
	assert.DeepEqual(t, p, Policy{
		BundleVersion: 7, BundleDigest: v.Digest, Team: "office", Service: "renewal-search",
		Class: "inspector", Caller: "ramp-tablets", Kind: KindSearch, Deadline: 500 * time.Millisecond,
		MinCoverage: 0.9, HedgeQuantile: 0.95, HedgeBudget: 0.05, Canary: true,
		CanaryMaxWait: 50 * time.Millisecond, CrashLimit: 2, Slots: 2, Connections: 25,
		Rules: []Rule{{Name: "inspector-rate", Kind: RuleMaxRate, Limit: 200, Signer: "Jana Office"}},
	})
	p, err = v.Policy("office", "renewal-search", testClerkToken)
	assert.NilError(t, err)
	assert.Equal(t, p.Deadline, 2*time.Second, "the service's deadline bounds the class's")
}

// Guards against requests that are decided under another team's or class's
// policy: each kind of mismatch is refused with its own kind of error.
func TestPolicyErrors(t *testing.T) {
	a := testAuthor(t)
	v, err := verifyEnvelope(t, testEnvelope(t, a), a.Trust())
	assert.NilError(t, err)
	for _, c := range []struct {
		team, service, token string
		kind                 PolicyErrorKind
	}{
		{"nobody", "renewal-search", testClerkToken, UnknownTeam},
		{"office", "profiles", testClerkToken, UnknownService},
		{"agenda", "profiles", testClerkToken, UnknownCaller},
		{"office", "renewal-search", "", UnknownCaller},
		{"office", "fee-ledger", testInspectorToken, ServiceNotAllowed},
	} {
		_, err := v.Policy(c.team, c.service, c.token)
		var policyError *PolicyError
		assert.Assert(t, errors.As(err, &policyError))
		assert.Equal(t, policyError.Kind, c.kind)
	}
}

// Guards against accepting a bundle that no trusted person answers for. Each
// case breaks one condition of a valid envelope.
func TestVerifyRefuses(t *testing.T) {
	cases := map[string]struct {
		change func(e *Envelope, a *Author)
		want   string
	}{
		"changed section": {func(e *Envelope, a *Author) {
			s := e.Section("team/office")
			s.Content = strings.Replace(s.Content, "priority: 1", "priority: 0", 1)
			e.SignRelease(a.Keys()[3])
		}, `the sign-off by "Jana Office" doesn't match the content`},
		"changed version": {func(e *Envelope, _ *Author) { e.Version++ },
			`the release signature by "Rado Release" doesn't match the version and sections`},
		"no sign-off": {func(e *Envelope, _ *Author) { e.Section("platform").SignOffs = nil },
			`no sign-off by a person trusted for "platform"`},
		"person of another section": {func(e *Envelope, a *Author) {
			e.Section("team/office").SignOffs = nil
			_ = e.SignSection("team/office", a.Keys()[2])
		}, `no sign-off by a person trusted for "team/office"`},
		"sign-off of another section": {func(e *Envelope, _ *Author) {
			e.Section("team/office").SignOffs[0].Signature = e.Section("team/agenda").SignOffs[0].Signature
		}, `the sign-off by "Jana Office" doesn't match the content`},
		"not released":            {func(e *Envelope, _ *Author) { e.Release = SignOff{} }, "the bundle is not released"},
		"released by another one": {func(e *Envelope, a *Author) { e.SignRelease(a.Keys()[0]) }, `"Eva Platform" may not release bundles`},
		"removed section": {func(e *Envelope, _ *Author) { e.Sections = e.Sections[:2] },
			"doesn't match the version and sections"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := testAuthor(t)
			e := testEnvelope(t, a)
			c.change(e, a)
			_, err := verifyEnvelope(t, e, a.Trust())
			assert.ErrorContains(t, err, c.want)
		})
	}
}

// Guards against a team having to sign again when another team's section
// changes, and against an old release covering the new content.
func TestSignOffOutlivesChangesElsewhere(t *testing.T) {
	a := testAuthor(t)
	before := testEnvelope(t, a)
	changed := bytes.Replace(payload(t), []byte("min_coverage: 0.5"), []byte("min_coverage: 0.6"), 1)
	e, err := NewEnvelope("payload", changed, before)
	assert.NilError(t, err)
	assert.Equal(t, len(e.Section("team/agenda").SignOffs), 0)
	assert.Equal(t, e.Release.Person, "")
	assert.NilError(t, e.SignSection("team/agenda", a.Keys()[2]))
	e.SignRelease(a.Keys()[3])
	after, err := verifyEnvelope(t, e, a.Trust())
	assert.NilError(t, err)
	first, err := verifyEnvelope(t, before, a.Trust())
	assert.NilError(t, err)
	assert.Equal(t, after.Signers["team/office"], "Jana Office")
	assert.Assert(t, after.Digest != first.Digest, "same version, other content")
	assert.Assert(t, Newer(after.Revision(), first.Revision()) != Newer(first.Revision(), after.Revision()))
}

// Guards against an envelope that the configuration service can't store.
func TestVerifyRefusesLargeEnvelope(t *testing.T) {
	_, err := Verify(bytes.Repeat([]byte(" "), MaxEnvelopeBytes+1), testAuthor(t).Trust())
	assert.ErrorContains(t, err, "the largest is 1000000")
}

// Guards against findings in a signed section that point to the wrong line of
// the envelope.
func TestFindingsPointIntoEnvelope(t *testing.T) {
	a := testAuthor(t)
	e := testEnvelope(t, a)
	s := e.Section("team/agenda")
	s.Content = strings.Replace(s.Content, "min_coverage: 0.5", "min_coverage: 5.5", 1)
	data, err := e.Encode()
	assert.NilError(t, err)
	e, err = ReadEnvelope("bundle", data)
	assert.NilError(t, err)
	_, err = e.Parse("bundle")
	findings := findingsOf(t, err)
	assert.Equal(t, len(findings), 1)
	line := strings.Split(string(data), "\n")[findings[0].Line-1]
	assert.Assert(t, strings.HasPrefix(line[findings[0].Column-1:], "5.5"), "%v: %s", findings[0], line)
}

// Guards against a sign-off that counts for the same content under another
// section's name.
func TestSignOffCoversSectionName(t *testing.T) {
	a, err := NewAuthor(rand.NewChaCha8([32]byte{2}))
	assert.NilError(t, err)
	s := testEnvelope(t, a).Section("team/office")
	s.Name = "team/other"
	_, err = s.signer(a.Trust())
	assert.ErrorContains(t, err, "doesn't match the content")
}
