package fleet

import (
	"time"

	"github.com/sycamorelift/sycamorelift/examples"
	"github.com/sycamorelift/sycamorelift/pkg/bundle"
)

// Class is a class of callers of an example bundle, with the caller that stands
// for it.
type Class struct {
	Name        string
	Caller      string
	Priority    int // 0 is served first
	MinCoverage float64
	Deadline    time.Duration
	Services    []string // searches first
	Share       float64  // of the load
}

// shares is the part of the load that each class sends.
var shares = map[string]float64{
	"inspector": 0.2, "clerk": 0.4, "flight-school": 0.4,
	"same-day": 0.2, "front-desk": 0.3, "chain": 0.3, "masajista": 0.2,
}

// Token returns the token of the class's caller.
func (c Class) Token() string { return examples.Token(c.Caller) }

// Classes returns the caller classes of a deployment's example bundle, first
// priority first. The examples are checked by their own test; a broken one is a
// fault of this build.
func Classes(deployment string) []Class {
	team, err := exampleTeam(deployment)
	if err != nil {
		panic(err)
	}
	callers := make(map[string]string)
	for _, caller := range team.Callers {
		callers[caller.Class] = caller.Name
	}
	classes := make([]Class, 0, len(team.Classes))
	for _, c := range team.Classes {
		classes = append(classes, Class{
			Name: c.Name, Caller: callers[c.Name], Priority: c.Priority, MinCoverage: c.MinCoverage,
			Deadline: c.Deadline, Services: c.Services, Share: shares[c.Name],
		})
	}
	return classes
}

func exampleTeam(deployment string) (bundle.Team, error) {
	data, err := examples.Bundle(deployment)
	if err != nil {
		return bundle.Team{}, err
	}
	parsed, err := bundle.Parse(deployment+"/bundle.yaml", data)
	if err != nil {
		return bundle.Team{}, err
	}
	return parsed.Teams[0], nil
}
