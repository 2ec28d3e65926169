package routing

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// Table is one version of all routes and services. It is immutable and safe for
// concurrent use.
type Table struct {
	version  int64
	byHost   map[string][]Route // longest prefix first
	services map[string]Service
	limits   Limits
}

// NewTable builds one version of the table. The caller must not use the slices afterwards.
func NewTable(version int64, routes []Route, services []Service, limits Limits) *Table {
	t := &Table{
		version:  version,
		byHost:   make(map[string][]Route),
		services: make(map[string]Service, len(services)),
		limits:   limits,
	}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		t.byHost[host] = append(t.byHost[host], route)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, service := range services {
		t.services[service.Name] = service
	}
	return t
}

// Version returns the number that the operator gave to this table.
func (t *Table) Version() int64 { return t.version }

// Limits returns the bounds on requests from callers.
func (t *Table) Limits() Limits { return t.limits }

// Service returns the service with the given name, or false if there is none.
func (t *Table) Service(name string) (Service, bool) {
	service, ok := t.services[name]
	return service, ok
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	n := 0
	for _, list := range t.byHost {
		n += len(list)
	}
	return n
}

// Match returns the route of the host with the longest prefix of the path, or nil if there
// is none. The host is compared without its port and regardless of case.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	list := t.byHost[strings.ToLower(host)]
	for i := range list {
		if strings.HasPrefix(path, list[i].Prefix) {
			return &list[i]
		}
	}
	return nil
}
