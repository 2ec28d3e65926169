package instance

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/crashguard"
)

// Guards against a record that states a suspicion as a fact, or whose
// fingerprint cannot be found in the refusals of the request.
func TestCrashRecordMatchesRefusals(t *testing.T) {
	var log bytes.Buffer
	logger := slog.New(slog.NewTextHandler(&log, nil))
	logCrash(logger, crashguard.Report{Fingerprint: 0xabcdef, ServerID: "b1"})
	refusal := crashguard.QuarantinedError{Fingerprint: 0xabcdef, Crashes: 2}
	assert.Assert(t, strings.Contains(refusal.Error(), "0000000000abcdef"), refusal.Error())
	assert.Assert(t, strings.Contains(log.String(), "fingerprint=0000000000abcdef"), log.String())
	assert.Assert(t, strings.Contains(log.String(), "suspected"), log.String())
	log.Reset()
	logCrash(logger, crashguard.Report{ServerID: "b1"})
	assert.Assert(t, !strings.Contains(log.String(), "request"), log.String())
}
