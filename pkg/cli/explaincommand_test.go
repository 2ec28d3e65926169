package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func runTool(args ...string) (code int, out, errs string) {
	var stdout, stderr bytes.Buffer
	streams := Streams{Out: &stdout, Err: &stderr}
	code = Run(args, streams, Commands(streams))
	return code, stdout.String(), stderr.String()
}

// Guards against an explanation that needs all logs, and against success when the
// request is in none.
func TestExplainReadsSeveralLogs(t *testing.T) {
	dir := t.TempDir()
	a, b := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
	assert.NilError(t, os.WriteFile(a, []byte(`{"msg":"parts incomplete","instance":"a","request_id":"9c41","missing":["s3: still running"]}`+"\n"), 0o600))
	assert.NilError(t, os.WriteFile(b, []byte(`{"msg":"request answered","instance":"b","request_id":"9c41","outcome":"partial","shards":20,"parts":19,"missing":["s3"],"took_ms":90}`+"\n"), 0o600))
	code, out, _ := runTool("explain", "9c41", a, b)
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.HasPrefix(out, "9c41: answered with 19 of 20 shards"), out)
	assert.Assert(t, strings.Index(out, "b: request answered") < strings.Index(out, "a: parts incomplete"), out)
	code, out, _ = runTool("explain", "--output", "json", "9c41", b)
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.Contains(out, `"found": true`), out)
	code, _, errs := runTool("explain", "9c42", a, b)
	assert.Equal(t, code, ExitFailed)
	assert.Assert(t, strings.Contains(errs, "9c42"), errs)
	code, _, _ = runTool("explain", "9c42", filepath.Join(dir, "none.log"))
	assert.Equal(t, code, ExitFailed)
	code, _, _ = runTool("explain", "9c42")
	assert.Equal(t, code, ExitUsage)
}

// Guards against a check that passes broken settings or checks the wrong kind.
func TestSettingsCheck(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.yaml")
	assert.NilError(t, os.WriteFile(file, []byte("instance: {id: a, zone: z, region: r}\n"), 0o600))
	code, _, errs := runTool("settings", "check", "--relay", file)
	assert.Equal(t, code, ExitFailed)
	assert.Assert(t, strings.Contains(errs, "memory_mb"), errs)
	code, _, errs = runTool("settings", "check", file)
	assert.Equal(t, code, ExitFailed)
	assert.Assert(t, strings.Contains(errs, "trust"), errs)
}
