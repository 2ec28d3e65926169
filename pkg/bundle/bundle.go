package bundle

// Bundle is the parsed content of a bundle.
type Bundle struct {
	Version  int64
	Platform Platform
	Teams    []Team
}

// Team is one team's section: what it runs, how requests are classed and who
// may call.
type Team struct {
	Name     string
	Services []Service
	Classes  []Class
	Callers  []Caller
}

func (t *Team) service(name string) (Service, bool) {
	for _, s := range t.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

func (t *Team) class(name string) (Class, bool) {
	for _, c := range t.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}
