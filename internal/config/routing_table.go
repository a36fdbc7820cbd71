package config

import (
	"slices"
	"strings"
)

// RoutingTable is one state of the configuration in the form that requests need. It
// is built once for each change and never written to afterwards, so that requests
// read it without a lock. Finding a route costs one look-up per segment of the path,
// however many routes there are.
type RoutingTable struct {
	Services   map[string]*Service
	Limits     ClientLimits
	RouteCount int

	// routes are by lower-case host, then by prefix.
	routes        map[string]map[string]*Route
	tenantsByHost map[string]*Tenant
	tenantsByName map[string]*Tenant
	// tenants are sorted by name.
	tenants []*Tenant
}

// RoutingTable builds the table of the configuration in force.
func (s *Store) RoutingTable() (table *RoutingTable) {
	table = &RoutingTable{
		Services:      map[string]*Service{},
		Limits:        DefaultLimits,
		routes:        map[string]map[string]*Route{},
		tenantsByHost: map[string]*Tenant{},
		tenantsByName: map[string]*Tenant{},
	}
	for _, item := range s.items {
		switch {
		case item.Dropped:
		case item.route != nil:
			host := strings.ToLower(item.route.Host)
			if table.routes[host] == nil {
				table.routes[host] = map[string]*Route{}
			}
			item.route.Version = item.Version
			table.routes[host][item.route.Prefix] = item.route
			table.RouteCount++
		case item.service != nil:
			table.Services[item.Name] = item.service
		case item.tenant != nil:
			table.tenantsByName[item.tenant.Name] = item.tenant
			for _, host := range item.tenant.Hosts {
				table.tenantsByHost[strings.ToLower(host)] = item.tenant
			}
		case item.limits != nil:
			table.Limits = *item.limits
		}
	}
	for _, tenant := range table.tenantsByName {
		table.tenants = append(table.tenants, tenant)
	}
	slices.SortFunc(table.tenants, func(a, b *Tenant) int { return strings.Compare(a.Name, b.Name) })
	return table
}

// NormalizeHost gives a host without its port, in lower case.
func NormalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Find gives the route with the longest prefix of the path.
func (t *RoutingTable) Find(host, path string) (route *Route) {
	routes := t.routes[NormalizeHost(host)]
	if routes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route = routes[path[:end+1]]; route != nil {
			return route
		}
	}
	return nil
}

// ServicesOf lists the services that a host's routes go to, each once.
func (t *RoutingTable) ServicesOf(host string) (services []string) {
	seen := map[string]bool{}
	for _, route := range t.routes[NormalizeHost(host)] {
		for _, target := range route.Targets {
			if !seen[target.Service] {
				seen[target.Service] = true
				services = append(services, target.Service)
			}
		}
	}
	return services
}

// Tenant gives the tenant of a host, nil where none is set.
func (t *RoutingTable) Tenant(host string) (tenant *Tenant) {
	if len(t.tenantsByHost) == 0 {
		return nil
	}
	return t.tenantsByHost[NormalizeHost(host)]
}

// Tenants lists each tenant once, by name; the list is not to be written to.
func (t *RoutingTable) Tenants() (tenants []*Tenant) { return t.tenants }

// TenantByName gives a tenant by its name, nil where there is none.
func (t *RoutingTable) TenantByName(name string) (tenant *Tenant) { return t.tenantsByName[name] }

// HomeRegions gives the allowed regions of a host's keyed routes. It gives none where
// the host has no such route or they differ in their regions. Other routes don't
// count: they store no responses, so any region may serve them.
func (t *RoutingTable) HomeRegions(host string) (homes []string) {
	for _, route := range t.routes[NormalizeHost(host)] {
		if route.Type != Keyed || len(route.AllowedRegions) == 0 {
			continue
		}
		if homes != nil && !sameRegions(homes, route.AllowedRegions) {
			return nil
		}
		homes = route.AllowedRegions
	}
	return homes
}

func sameRegions(one, other []string) bool {
	if len(one) != len(other) {
		return false
	}
	for _, region := range one {
		if !slices.Contains(other, region) {
			return false
		}
	}
	return true
}
