package experiment

import (
	"github.com/rotisserie/eris"

	"github.com/sycamorelift/sycamorelift/pkg/fleet"
)

// Policy is a named set of instance options.
type Policy struct {
	Name    string
	Options fleet.Options
}

// policies are listed in pairs of the product's behaviour and its alternative.
var policies = []Policy{
	{Name: "owners"},
	{Name: "direct", Options: fleet.Options{DirectFanOut: true}},
	{Name: "hedge"},
	{Name: "no-hedge", Options: fleet.Options{DisableHedging: true}},
	{Name: "observed"},
	{Name: "random", Options: fleet.Options{RandomReplica: true}},
	{Name: "canary"},
	{Name: "no-canary", Options: fleet.Options{DisableCanary: true}},
	{Name: "retry"},
	{Name: "no-retry", Options: fleet.Options{DisableRetries: true}},
	{Name: "soft-stop"},
	{Name: "no-soft-stop", Options: fleet.Options{DisableSoftStop: true}},
	{Name: "plain", Options: fleet.Options{DirectFanOut: true, RandomReplica: true, DisableHedging: true, DisableCanary: true, DisableSoftStop: true}},
}

// PolicyByName returns the policy of a name.
func PolicyByName(name string) (Policy, error) {
	for _, policy := range policies {
		if policy.Name == name {
			return policy, nil
		}
	}
	return Policy{}, eris.Errorf("no policy is named %q; known are %v", name, PolicyNames())
}

// PolicyNames returns the names of all policies.
func PolicyNames() []string {
	names := make([]string, 0, len(policies))
	for _, policy := range policies {
		names = append(names, policy.Name)
	}
	return names
}
