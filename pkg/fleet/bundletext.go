package fleet

import (
	"slices"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"github.com/sycamorelift/sycamorelift/examples"
	"github.com/sycamorelift/sycamorelift/pkg/standin"
)

// bundleFile is the part of a bundle that BundleText changes; the rest is kept
// as it is.
type bundleFile struct {
	Version  int64          `yaml:"version"`
	Platform map[string]any `yaml:"platform"`
	Teams    []teamFile     `yaml:"teams"`
}

type teamFile struct {
	Name     string        `yaml:"name"`
	Services []serviceFile `yaml:"services"`
	Classes  []classFile   `yaml:"classes"`
	Callers  []callerFile  `yaml:"callers"`
}

type serviceFile struct {
	Name  string         `yaml:"name"`
	Slots int            `yaml:"slots"`
	Rest  map[string]any `yaml:",inline"`
}

type classFile struct {
	Name     string         `yaml:"name"`
	Services []string       `yaml:"services"`
	Rest     map[string]any `yaml:",inline"`
}

type callerFile struct {
	Class string         `yaml:"class"`
	Rest  map[string]any `yaml:",inline"`
}

// BundleText returns the unsigned example bundle of a deployment with another
// version. Services that a limited deployment lacks are left out, and slots
// follow the deployment.
func BundleText(spec standin.DeploymentSpec, version int64) ([]byte, error) {
	data, err := examples.Bundle(spec.Name)
	if err != nil {
		return nil, err
	}
	var file bundleFile
	if err := yaml.Unmarshal(data, &file); err != nil {
		return nil, eris.Wrap(err, "read example bundle")
	}
	file.Version = version
	for i := range file.Teams {
		file.Teams[i].limit(spec)
	}
	return yaml.Marshal(file)
}

// limit leaves out what the deployment does not run.
func (t *teamFile) limit(spec standin.DeploymentSpec) {
	t.Services = slices.DeleteFunc(t.Services, func(s serviceFile) bool {
		_, err := spec.Service(s.Name)
		return err != nil
	})
	for i := range t.Services {
		service, _ := spec.Service(t.Services[i].Name)
		t.Services[i].Slots = service.Slots
	}
	for i := range t.Classes {
		t.Classes[i].Services = present(spec, t.Classes[i].Services)
	}
	t.Classes = slices.DeleteFunc(t.Classes, func(c classFile) bool { return len(c.Services) == 0 })
	t.Callers = slices.DeleteFunc(t.Callers, func(c callerFile) bool {
		return !slices.ContainsFunc(t.Classes, func(class classFile) bool { return class.Name == c.Class })
	})
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
