package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	payloadFile = "../bundle/testdata/full.yaml"
	brokenFile  = "../bundle/testdata/broken.yaml"
)

// run runs the tool and returns its exit code and output.
func run(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, err bytes.Buffer
	streams := Streams{Out: &out, Err: &err}
	code = Run(args, streams, Commands(streams))
	return code, out.String(), err.String()
}

func runOK(t *testing.T, args ...string) string {
	t.Helper()
	code, stdout, stderr := run(t, args...)
	assert.Equal(t, code, ExitOK, "%v: %s", args, stderr)
	return stdout
}

// Guards against exit codes that scripts misread, and against errors on
// standard output.
func TestExitCodes(t *testing.T) {
	t.Setenv("SYCAMORELIFT_TOKEN", "")
	for _, c := range []struct {
		args []string
		code int
	}{
		{[]string{"--help"}, ExitOK},
		{[]string{"bundle", "diff", "--help"}, ExitOK},
		{[]string{"version"}, ExitOK},
		{nil, ExitUsage},
		{[]string{"fly"}, ExitUsage},
		{[]string{"bundle"}, ExitUsage},
		{[]string{"version", "now"}, ExitUsage},
		{[]string{"version", "--output", "xml"}, ExitUsage},
		{[]string{"bundle", "verify", "b.yaml"}, ExitUsage},
		{[]string{"search", "--instance", "127.0.0.1:1", "--team", "a", "--service", "b", "q"}, ExitUsage},
		{[]string{"bundle", "check", "missing.yaml"}, ExitFailed},
	} {
		code, stdout, stderr := run(t, c.args...)
		assert.Equal(t, code, c.code, "%v: %s", c.args, stderr)
		assert.Equal(t, code == ExitOK, stderr == "", "%v: %s", c.args, stderr)
		assert.Equal(t, code == ExitOK, stdout != "", "%v: %s", c.args, stdout)
	}
}

type failingCommand struct{}

func (failingCommand) Execute([]string) error { return errors.New("an invariant was violated") }

// Guards against commands of other packages whose failure is lost.
func TestRunReportsAddedCommand(t *testing.T) {
	var out, err bytes.Buffer
	streams := Streams{Out: &out, Err: &err}
	commands := append(Commands(streams), Command{Name: "demo", Short: "Demonstrate", Data: &failingCommand{}})
	assert.Equal(t, Run([]string{"demo"}, streams, commands), ExitFailed)
	assert.Equal(t, err.String(), "sycamorelift: an invariant was violated\n")
}

// Guards against a signing sequence that yields a bundle which doesn't verify,
// or a release of sections that nobody signed.
func TestBundleCommands(t *testing.T) {
	dir := t.TempDir()
	key, trust, signed := filepath.Join(dir, "key.yaml"), filepath.Join(dir, "trust.yaml"), filepath.Join(dir, "signed.yaml")
	entry := runOK(t, "bundle", "keygen", "--person", "Jana", "--key", key, "--section", "*", "--may-release")
	assert.NilError(t, os.WriteFile(trust, []byte("signers:\n"+entry), privateMode))
	code, _, stderr := run(t, "bundle", "keygen", "--person", "Eva", "--key", key)
	assert.Equal(t, code, ExitFailed)
	assert.Assert(t, strings.Contains(stderr, "exists"), stderr)

	code, _, stderr = run(t, "bundle", "sign", "--payload", payloadFile, "--key", key, "--release", signed)
	assert.Equal(t, code, ExitFailed)
	assert.Assert(t, strings.Contains(stderr, "no sign-off of [platform team/office team/agenda]"), stderr)
	code, _, _ = run(t, "bundle", "sign", "--payload", brokenFile, "--key", key, "--section", "platform", signed)
	assert.Equal(t, code, ExitFailed, "content with findings is not signed")

	runOK(t, "bundle", "sign", "--payload", payloadFile, "--key", key, "--section", "platform", "--section", "team/office", signed)
	runOK(t, "bundle", "sign", "--key", key, "--section", "team/agenda", signed)
	code, _, _ = run(t, "bundle", "verify", "--trust", trust, signed)
	assert.Equal(t, code, ExitFailed, "the bundle is not released yet")
	runOK(t, "bundle", "sign", "--key", key, "--release", signed)

	var result verifyResult
	text := runOK(t, "bundle", "verify", "--trust", trust, "--output", "json", signed)
	assert.NilError(t, json.Unmarshal([]byte(text), &result))
	assert.Equal(t, result.Version, int64(7))
	assert.Equal(t, result.Signers["team/agenda"], "Jana")
	assert.Equal(t, runOK(t, "bundle", "diff", "--exit-code", payloadFile, signed), "")
}

// Guards against a comparison that misses a field or names the wrong one.
func TestBundleDiff(t *testing.T) {
	data, err := os.ReadFile(payloadFile)
	assert.NilError(t, err)
	text := strings.NewReplacer("version: 7", "version: 8", "slots: 6", "slots: 7",
		"limit: 200", "limit: 150", "name: renewal-desk", "name: desk-two").Replace(string(data))
	changed := filepath.Join(t.TempDir(), "changed.yaml")
	assert.NilError(t, os.WriteFile(changed, []byte(text), privateMode))
	code, stdout, _ := run(t, "bundle", "diff", "--exit-code", payloadFile, changed)
	assert.Equal(t, code, ExitFailed)
	const token = "6928eb94c15cb00c92def9c21d106cfae70f3ecc56d8e7ff4039cb619e39e5e5"
	assert.Equal(t, stdout, `teams.office.callers.desk-two.class: - -> clerk
teams.office.callers.desk-two.token_sha256: - -> `+token+`
teams.office.callers.renewal-desk.class: clerk -> -
teams.office.callers.renewal-desk.token_sha256: `+token+` -> -
teams.office.classes.inspector.rules.inspector-rate.limit: 200 -> 150
teams.office.services.fee-ledger.slots: 6 -> 7
version: 7 -> 8
`)
}

// Guards against findings that are shown in only one output format.
func TestBundleCheck(t *testing.T) {
	code, stdout, stderr := run(t, "bundle", "check", "--output", "json", brokenFile)
	assert.Equal(t, code, ExitFailed)
	assert.Equal(t, stderr, "sycamorelift: the bundle has findings\n")
	var result checkResult
	assert.NilError(t, json.Unmarshal([]byte(stdout), &result))
	_, text, _ := run(t, "bundle", "check", brokenFile)
	assert.Equal(t, text, result.Findings.Error()+"\n")
}
