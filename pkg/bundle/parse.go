package bundle

import (
	"math"

	"github.com/sycamorelift/sycamorelift/pkg/yamldoc"
)

// Parse reads an unsigned bundle. The error is a finding.List with everything
// that is wrong, in order of place.
func Parse(file string, data []byte) (*Bundle, error) {
	b, _, err := parsePayload(file, data)
	return b, err
}

// parsePayload returns the bundle and the value of each of its sections.
func parsePayload(file string, data []byte) (*Bundle, []sectionValue, error) {
	doc := yamldoc.Parse(file, data)
	var b Bundle
	o := doc.Root("").Object()
	o.Required("version").Int64(&b.Version, versionRange)
	platform := o.Required("platform")
	b.Platform = parsePlatform(platform)
	sections := []sectionValue{{PlatformSection, platform}}
	teamNames := newNames("team")
	for _, item := range o.Required("teams").SomeItems() {
		team := parseTeam(item, b.Platform, teamNames)
		b.Teams = append(b.Teams, team)
		sections = append(sections, sectionValue{TeamSection(team.Name), item})
	}
	o.Close()
	if err := doc.Findings().Err(); err != nil {
		return nil, nil, err
	}
	return &b, sections, nil
}

var versionRange = yamldoc.Range[int64]{Min: 1, Max: math.MaxInt64}

type sectionValue struct {
	name  string
	value yamldoc.Value
}

func parseTeam(v yamldoc.Value, p Platform, teamNames *names) Team {
	var t Team
	o := v.Object()
	name := o.Required("name")
	name.Match(&t.Name, namePattern, nameRule)
	teamNames.add(name, t.Name)
	services := newNames("service")
	for _, item := range o.Required("services").SomeItems() {
		s := parseService(item, p)
		services.add(item, s.Name)
		t.Services = append(t.Services, s)
	}
	classes := newNames("class")
	for _, item := range o.Required("classes").SomeItems() {
		c := parseClass(item, p, services.known)
		classes.add(item, c.Name)
		t.Classes = append(t.Classes, c)
	}
	t.Callers = parseCallers(o.Required("callers").SomeItems(), classes.known)
	o.Close()
	return t
}

func parseCallers(items []yamldoc.Value, classes map[string]bool) []Caller {
	var callers []Caller
	known, tokens := newNames("caller"), newNames("caller with token")
	for _, item := range items {
		c := parseCaller(item, classes, tokens)
		known.add(item, c.Name)
		callers = append(callers, c)
	}
	return callers
}
