package bundle

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func fuzzSeeds(f *testing.F) {
	f.Helper()
	broken, err := os.ReadFile("testdata/broken.yaml")
	assert.NilError(f, err)
	f.Add(payload(f))
	f.Add(broken)
	for _, text := range []string{
		"", "null", "[]", "a: &x [*x]", "a: &x 1\nb: *x", "<<: {version: 1}", "? {a: b}\n: c",
		"version: 1\n---\nversion: 2", "version: !!int x", "version: 0x7", "%YAML 1.2\n---\n{}",
		"version: 99999999999999999999", "teams: {}", "platform:\n\tx: 1", "\xff\xfe", "format: |+\n\n",
		strings.Repeat("[", 2000), "version: 1\nversion: 2",
	} {
		f.Add([]byte(text))
	}
}

// Guards against input that panics, that yields findings without a place, or
// that is accepted but can't be published unchanged.
func FuzzParse(f *testing.F) {
	fuzzSeeds(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := Parse("payload", data)
		if err != nil {
			assert.Assert(t, b == nil)
			for _, finding := range findingsOf(t, err) {
				assert.Assert(t, finding.Line > 0 && finding.Column > 0, "%v", finding)
			}
			return
		}
		e, err := NewEnvelope("payload", data, nil)
		assert.NilError(t, err)
		_, err = e.Encode()
		if err != nil {
			return // refused as a whole, such as for its size
		}
		read, err := e.Parse("envelope")
		assert.NilError(t, err)
		assert.Equal(t, len(Diff(b, read)), 0)
	})
}

// Guards against malformed or changed bundles that verify. Without the private
// keys, no input other than the published content may be accepted.
func FuzzVerify(f *testing.F) {
	fuzzSeeds(f)
	a := testAuthor(f)
	published, err := a.Publish(payload(f))
	assert.NilError(f, err)
	original, err := Verify(published, a.Trust())
	assert.NilError(f, err)
	f.Add(published)
	f.Fuzz(func(t *testing.T, data []byte) {
		v, err := Verify(data, a.Trust())
		if err != nil {
			assert.Assert(t, v == nil)
			findingsOf(t, err)
			return
		}
		assertSame(t, v, original)
	})
}

// assertSame compares all that instances act on.
func assertSame(t *testing.T, v, original *Verified) {
	t.Helper()
	assert.Equal(t, v.Revision(), original.Revision())
	assert.DeepEqual(t, v.Bundle, original.Bundle)
	assert.DeepEqual(t, v.Signers, original.Signers)
}

// Guards, in every test run, against a byte of a published bundle that is
// covered by no signature.
func TestVerifyRefusesChangedBytes(t *testing.T) {
	a := testAuthor(t)
	published, err := a.Publish(payload(t))
	assert.NilError(t, err)
	original, err := Verify(published, a.Trust())
	assert.NilError(t, err)
	accepted := 0
	step := 1
	if testing.Short() {
		step = 7 // the race detector makes each verification ten times as slow
	}
	for i := 0; i < len(published); i += step {
		changed := bytes.Clone(published)
		changed[i] ^= 1
		v, err := Verify(changed, a.Trust())
		if err == nil {
			accepted++
			assertSame(t, v, original)
		}
	}
	// Only line breaks and spaces between values may differ.
	assert.Assert(t, accepted < len(published)/100, "%d of %d", accepted, len(published))
}
