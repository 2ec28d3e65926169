package examples

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
	"github.com/sycamorelift/sycamorelift/pkg/settings"
	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

// verified returns an example's published bundle, verified under the signers
// that its settings trust.
func verified(t *testing.T, name string) *bundle.Verified {
	t.Helper()
	s, err := settings.Load(filepath.Join(name, "settings.yaml"))
	assert.NilError(t, err)
	file := filepath.Join(name, "bundle.signed.yaml")
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	v, err := bundle.VerifyFile(file, data, s.Trust)
	assert.NilError(t, err)
	return v
}

// Guards against examples that were edited without signing them again, and
// against limits that differ from the deployment's backend servers.
func TestExamplesMatchDeployments(t *testing.T) {
	for _, spec := range []standin.DeploymentSpec{standin.Office(), standin.AgendaSerena()} {
		t.Run(spec.Name, func(t *testing.T) {
			v := verified(t, spec.Name)
			file := filepath.Join(spec.Name, "bundle.yaml")
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			payload, err := bundle.Parse(file, data)
			assert.NilError(t, err)
			assert.Equal(t, len(bundle.Diff(payload, v.Bundle)), 0)

			assert.Equal(t, len(v.Bundle.Teams), 1)
			services := v.Bundle.Teams[0].Services
			assert.Equal(t, len(services), len(spec.Services))
			for i, want := range spec.Services {
				assert.Equal(t, services[i].Name, want.Name)
				assert.Equal(t, services[i].Slots, want.Slots)
				assert.Equal(t, services[i].Connections, want.Connections)
				assert.Equal(t, services[i].Kind == bundle.KindSubmission, want.Submission)
			}
		})
	}
}

// Guards against a service that no caller may use, and against a caller whose
// documented token is another one.
func TestExampleCallersReachServices(t *testing.T) {
	for _, name := range []string{standin.OfficeName, standin.AgendaSerenaName} {
		v := verified(t, name)
		team := v.Bundle.Teams[0]
		used := map[string]bool{}
		for _, caller := range team.Callers {
			i := slices.IndexFunc(team.Classes, func(c bundle.Class) bool { return c.Name == caller.Class })
			for _, service := range team.Classes[i].Services {
				p, err := v.Policy(team.Name, service, Token(caller.Name))
				assert.NilError(t, err)
				assert.Equal(t, p.Caller, caller.Name)
				used[service] = true
			}
		}
		assert.Equal(t, len(used), len(team.Services))
	}
}

// Guards against a change of what the users need most: inspectors before
// clerks before schools and full histories for clerks; at the booking service,
// desks and same-day openings first and hedging on every search.
func TestExamplesStateUsersPriorities(t *testing.T) {
	office := verified(t, standin.OfficeName).Bundle.Teams[0]
	for i, class := range []string{"inspector", "clerk", "flight-school"} {
		assert.Equal(t, office.Classes[i].Name, class)
		assert.Equal(t, office.Classes[i].Priority, i)
	}
	assert.Equal(t, office.Classes[1].MinCoverage, 1.0)
	agenda := verified(t, standin.AgendaSerenaName).Bundle.Teams[0]
	for i, class := range []string{"same-day", "front-desk", "chain", "masajista"} {
		assert.Equal(t, agenda.Classes[i].Name, class)
		assert.Equal(t, agenda.Classes[i].Priority, max(0, i-1))
		assert.Assert(t, agenda.Classes[i].MinCoverage < 1)
	}
	for _, service := range agenda.Services {
		assert.Equal(t, service.Hedge.Quantile > 0, service.Kind == bundle.KindSearch)
	}
}
