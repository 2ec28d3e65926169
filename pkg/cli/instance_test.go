package cli

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/entry"
	"github.com/sycamorelift/sycamorelift/pkg/fleet"
	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

// Guards against requests and replies whose fields differ from an instance's.
func TestCommandsAgainstInstance(t *testing.T) {
	spec := standin.Office()
	search, ledger := spec.Services[0], spec.Services[3]
	search.Shards = 2
	spec.Services = []standin.ServiceSpec{search, ledger}
	var started fleet.InstanceSpec
	ctx, stop := context.WithTimeout(context.Background(), 30*time.Second)
	defer stop()
	f, err := fleet.Start(ctx, fleet.Config{Spec: spec, Seed: 1, Instances: 1,
		Start: func(ctx context.Context, s fleet.InstanceSpec) (fleet.Instance, error) {
			started = s
			return fleet.StartInstance(ctx, s)
		}})
	assert.NilError(t, err)
	defer f.Stop()
	var clerk fleet.Class
	for _, class := range fleet.Classes(spec.Name) {
		if class.Name == "clerk" {
			clerk = class
		}
	}
	t.Setenv("SYCAMORELIFT_TOKEN", clerk.Token())
	t.Setenv("SYCAMORELIFT_INSTANCE", started.CallerAddress)

	var answer entry.Answer
	text := runOK(t, "search", "--team", spec.Team, "--service", search.Name, "--output", "json", "all")
	assert.NilError(t, json.Unmarshal([]byte(text), &answer))
	assert.Assert(t, answer.Coverage.Complete)
	assert.Equal(t, answer.Class, "clerk")
	assert.Equal(t, answer.Shards, 2)

	var reply submitReply
	text = runOK(t, "submit", "--team", spec.Team, "--service", ledger.Name, "--key", "licence-7", "--output", "json", `{"fee": 40}`)
	assert.NilError(t, json.Unmarshal([]byte(text), &reply))
	assert.Equal(t, reply.Run, "run")
	assert.Equal(t, reply.Issuer, started.ID)

	code, stdout, stderr := run(t, "search", "--team", spec.Team, "--service", "none", "--output", "json", "all")
	assert.Equal(t, code, ExitFailed)
	var refusal entry.Refusal
	assert.NilError(t, json.Unmarshal([]byte(stdout), &refusal), stderr)
	assert.Equal(t, refusal.Run, entry.NotRun)

	var status struct {
		Instance      string `json:"instance"`
		BundleVersion int64  `json:"bundle_version"`
	}
	text = runOK(t, "status", "--instance", started.OperatorAddress, "--output", "json")
	assert.NilError(t, json.Unmarshal([]byte(text), &status))
	assert.Equal(t, status.Instance, started.ID)
	assert.Equal(t, status.BundleVersion, answer.BundleVersion)
}
