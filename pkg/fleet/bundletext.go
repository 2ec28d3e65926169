package fleet

import (
	"go.yaml.in/yaml/v3"

	"github.com/sycamorelift/sycamorelift/pkg/bundle"
	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

// Settings of the demonstration bundle.
const (
	serviceDeadline  = "5s"
	hedgeQuantile    = 0.95
	hedgeBudget      = 0.05
	canaryMaxWait    = "50ms"
	crashLimit       = 2
	platformDeadline = "10s"
)

type bundleFile struct {
	Version  int64        `yaml:"version"`
	Platform platformFile `yaml:"platform"`
	Teams    []teamFile   `yaml:"teams"`
}

type platformFile struct {
	MaxDeadline    string  `yaml:"max_deadline"`
	MaxHedgeBudget float64 `yaml:"max_hedge_budget"`
	MaxCrashLimit  int     `yaml:"max_crash_limit"`
}

type teamFile struct {
	Name     string        `yaml:"name"`
	Services []serviceFile `yaml:"services"`
	Classes  []classFile   `yaml:"classes"`
	Callers  []callerFile  `yaml:"callers"`
}

type serviceFile struct {
	Name        string      `yaml:"name"`
	Kind        string      `yaml:"kind"`
	Slots       int         `yaml:"slots"`
	Connections int         `yaml:"connections"`
	Deadline    string      `yaml:"deadline"`
	Hedge       *hedgeFile  `yaml:"hedge,omitempty"`
	Canary      *canaryFile `yaml:"canary,omitempty"`
	CrashLimit  int         `yaml:"crash_limit"`
}

type hedgeFile struct {
	Quantile float64 `yaml:"quantile"`
	Budget   float64 `yaml:"budget"`
}

type canaryFile struct {
	Enabled bool   `yaml:"enabled"`
	MaxWait string `yaml:"max_wait"`
}

type classFile struct {
	Name        string   `yaml:"name"`
	Priority    int      `yaml:"priority"`
	MinCoverage float64  `yaml:"min_coverage"`
	Deadline    string   `yaml:"deadline"`
	Services    []string `yaml:"services"`
}

type callerFile struct {
	Name        string `yaml:"name"`
	Class       string `yaml:"class"`
	TokenSHA256 string `yaml:"token_sha256"`
}

// BundleText returns the unsigned bundle of a deployment: its services with
// their limits and its classes with one caller each. Services that a limited
// deployment lacks are left out.
func BundleText(spec standin.DeploymentSpec, version int64) ([]byte, error) {
	file := bundleFile{
		Version:  version,
		Platform: platformFile{MaxDeadline: platformDeadline, MaxHedgeBudget: hedgeBudget, MaxCrashLimit: crashLimit},
		Teams:    []teamFile{{Name: spec.Team}},
	}
	team := &file.Teams[0]
	for _, service := range spec.Services {
		team.Services = append(team.Services, describeService(service))
	}
	for _, class := range Classes(spec.Name) {
		class.Services = present(spec, class.Services)
		if len(class.Services) == 0 {
			continue
		}
		team.Classes = append(team.Classes, describeClass(class))
		team.Callers = append(team.Callers, callerFile{Name: class.Name + "-1", Class: class.Name, TokenSHA256: class.tokenSHA256()})
	}
	return yaml.Marshal(file)
}

func describeService(service standin.ServiceSpec) serviceFile {
	described := serviceFile{
		Name: service.Name, Kind: string(bundle.KindSearch),
		Slots: service.Slots, Connections: service.Connections,
		Deadline: serviceDeadline, CrashLimit: crashLimit,
	}
	if service.Submission {
		described.Kind = string(bundle.KindSubmission)
		return described
	}
	described.Hedge = &hedgeFile{Quantile: hedgeQuantile, Budget: hedgeBudget}
	described.Canary = &canaryFile{Enabled: service.Shards > 1, MaxWait: canaryMaxWait}
	return described
}

func describeClass(class Class) classFile {
	return classFile{
		Name: class.Name, Priority: class.Priority, MinCoverage: class.MinCoverage,
		Deadline: class.Deadline.String(), Services: class.Services,
	}
}

// present returns the services that the deployment runs.
func present(spec standin.DeploymentSpec, names []string) []string {
	var out []string
	for _, name := range names {
		if _, err := spec.Service(name); err == nil {
			out = append(out, name)
		}
	}
	return out
}
