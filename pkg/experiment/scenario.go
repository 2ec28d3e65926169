package experiment

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sycamorelift/sycamorelift/pkg/fleet"
	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

// Scenario is a load together with a fault.
type Scenario struct {
	Name        string
	Description string
	Deployment  string
	MainOnly    bool          // load only the main service
	Scarce      bool          // less capacity, see fleet.Scarce
	Load        float64       // of the main service's capacity
	CalmLoad    float64       // in the arm without fault; 0 is Load
	Duration    time.Duration // measured per arm
	// Fault runs during each measured turn of an arm; its context ends with
	// the turn. Nil is none.
	Fault func(ctx context.Context, f *fleet.Fleet) error
}

const (
	normalLoad       = 0.25
	normalDuration   = 8 * time.Second
	overloadDuration = 5 * time.Second
	overloadLoad     = 2
	silenceInterval  = 2 * time.Second
	moveInterval     = time.Second
	snapshotOverlap  = 500 * time.Millisecond
)

var scenarios = []Scenario{
	{Name: "office", Description: "the licensing office without fault", Deployment: standin.OfficeName,
		Load: normalLoad, Duration: normalDuration},
	{Name: "agenda-serena", Description: "the booking service without fault", Deployment: standin.AgendaSerenaName,
		Load: normalLoad, Duration: normalDuration},
	{Name: "straggler", Description: "one replica is 20 times slower", Deployment: standin.OfficeName,
		Load: normalLoad, Duration: normalDuration, Fault: named("straggler")},
	{Name: "replica-loss", Description: "one replica is lost", Deployment: standin.OfficeName,
		Load: normalLoad, Duration: normalDuration, Fault: loseReplica},
	{Name: "overload", Description: "all classes at twice the capacity", Deployment: standin.OfficeName,
		MainOnly: true, Scarce: true, Load: overloadLoad, CalmLoad: 1, Duration: overloadDuration},
	{Name: "silent-connections", Description: "open connections to backend servers stop answering every 2 s", Deployment: standin.OfficeName,
		Load: normalLoad, Duration: normalDuration, Fault: silence},
	{Name: "repartition", Description: "the index moves to another snapshot every second", Deployment: standin.OfficeName,
		Load: normalLoad, Duration: normalDuration, Fault: repartition},
	{Name: "rolling-restart", Description: "the instances restart one after the other", Deployment: standin.OfficeName,
		Load: normalLoad, Duration: normalDuration, Fault: named("rolling-restart")},
	{Name: "combined", Description: "several faults together", Deployment: standin.OfficeName,
		Load: normalLoad, Duration: normalDuration, Fault: named("combined")},
	{Name: "crashing-request", Description: "a repeated request crashes every backend server that runs it", Deployment: standin.OfficeName,
		Load: normalLoad, Duration: normalDuration, Fault: crashing},
}

// ScenarioByName returns the scenario of a name.
func ScenarioByName(name string) (Scenario, error) {
	for _, scenario := range scenarios {
		if scenario.Name == name {
			return scenario, nil
		}
	}
	return Scenario{}, eris.Errorf("no scenario is named %q; known are %v", name, ScenarioNames())
}

// ScenarioNames returns the names of all scenarios.
func ScenarioNames() []string {
	names := make([]string, 0, len(scenarios))
	for _, scenario := range scenarios {
		names = append(names, scenario.Name)
	}
	return names
}

// spec returns the deployment with the scenario's services and capacity.
func (s Scenario) spec() (standin.DeploymentSpec, error) {
	spec, err := standin.SpecByName(s.Deployment)
	if err != nil {
		return spec, err
	}
	if s.MainOnly {
		if spec, err = spec.Only(spec.Services[0].Name); err != nil {
			return spec, err
		}
	}
	if s.Scarce {
		spec = fleet.Scarce(spec)
	}
	return spec, nil
}
