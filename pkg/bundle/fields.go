package bundle

import (
	"fmt"
	"strings"
)

// fields maps the path of each field to its value as text.
type fields map[string]string

func fieldsOf(b *Bundle) fields {
	f := fields{}
	f.set("", "version", b.Version)
	f.set("platform", "max_deadline", b.Platform.MaxDeadline)
	f.set("platform", "max_hedge_budget", b.Platform.MaxHedgeBudget)
	f.set("platform", "max_crash_limit", b.Platform.MaxCrashLimit)
	for i := range b.Teams {
		f.addTeam(&b.Teams[i])
	}
	return f
}

func (f fields) set(parent, key string, value any) {
	path := key
	if parent != "" {
		path = parent + "." + key
	}
	f[path] = fmt.Sprint(value)
}

func (f fields) addTeam(t *Team) {
	path := "teams." + t.Name
	for _, s := range t.Services {
		f.addService(path+".services."+s.Name, s)
	}
	for _, c := range t.Classes {
		f.addClass(path+".classes."+c.Name, c)
	}
	for _, c := range t.Callers {
		f.set(path+".callers."+c.Name, "class", c.Class)
		f.set(path+".callers."+c.Name, "token_sha256", c.TokenSHA256)
	}
}

func (f fields) addService(path string, s Service) {
	f.set(path, "kind", s.Kind)
	f.set(path, "slots", s.Slots)
	f.set(path, "connections", s.Connections)
	f.set(path, "deadline", s.Deadline)
	f.set(path, "hedge.quantile", s.Hedge.Quantile)
	f.set(path, "hedge.budget", s.Hedge.Budget)
	f.set(path, "canary.enabled", s.Canary.Enabled)
	f.set(path, "canary.max_wait", s.Canary.MaxWait)
	f.set(path, "crash_limit", s.CrashLimit)
}

func (f fields) addClass(path string, c Class) {
	f.set(path, "priority", c.Priority)
	f.set(path, "min_coverage", c.MinCoverage)
	f.set(path, "deadline", c.Deadline)
	f.set(path, "services", strings.Join(c.Services, ", "))
	var order []string
	for _, r := range c.Rules {
		order = append(order, r.Name)
		f.set(path+".rules."+r.Name, "kind", r.Kind)
		f.set(path+".rules."+r.Name, "limit", r.Limit)
	}
	f.set(path, "rule_order", strings.Join(order, ", "))
}
