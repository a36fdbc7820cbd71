package config

import (
	"slices"
	"strings"
)

// A RoutingTable is built once a change and never written to afterwards, so requests
// read it without a lock. Finding a route costs one look-up per segment of the path,
// however many routes there are.

// RoutingTable is one state of the configuration, read-only.
type RoutingTable struct {
	hosts      map[string]map[string]*Route
	Services   map[string]*Service
	tenants    map[string]*Tenant
	named      map[string]*Tenant
	listed     []*Tenant
	Limits     ClientLimits
	RouteCount int
}

// RoutingTable builds the reading of what stands.
func (c *Store) RoutingTable() (view *RoutingTable) {
	view = &RoutingTable{hosts: map[string]map[string]*Route{}, Services: map[string]*Service{}, tenants: map[string]*Tenant{}, named: map[string]*Tenant{}, Limits: DefaultLimits}
	for _, item := range c.items {
		switch {
		case item.Dropped:
		case item.way != nil:
			host := strings.ToLower(item.way.Host)
			if view.hosts[host] == nil {
				view.hosts[host] = map[string]*Route{}
			}
			item.way.Version = item.Version
			view.hosts[host][item.way.Prefix] = item.way
			view.RouteCount++
		case item.service != nil:
			view.Services[item.Name] = item.service
		case item.tenant != nil:
			view.named[item.tenant.Name] = item.tenant
			for _, host := range item.tenant.Hosts {
				view.tenants[strings.ToLower(host)] = item.tenant
			}
		case item.limits != nil:
			view.Limits = *item.limits
		}
	}
	for _, tenant := range view.named {
		view.listed = append(view.listed, tenant)
	}
	slices.SortFunc(view.listed, func(one, other *Tenant) int { return strings.Compare(one.Name, other.Name) })
	return view
}

// NormalizeHost is a host without its port, in small letters.
func NormalizeHost(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// Find gives the way with the longest prefix of the path.
func (v *RoutingTable) Find(host, path string) (way *Route) {
	ways := v.hosts[NormalizeHost(host)]
	if ways == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if way = ways[path[:end+1]]; way != nil {
			return way
		}
	}
	return nil
}

// ServicesOf lists the services that a host's ways go to, each once.
func (v *RoutingTable) ServicesOf(host string) (services []string) {
	seen := map[string]bool{}
	for _, way := range v.hosts[NormalizeHost(host)] {
		for _, target := range way.Targets {
			if !seen[target.Service] {
				seen[target.Service] = true
				services = append(services, target.Service)
			}
		}
	}
	return services
}

// Tenant gives the tenant of a host, nil where none is set.
func (v *RoutingTable) Tenant(host string) (tenant *Tenant) {
	if len(v.tenants) == 0 {
		return nil
	}
	return v.tenants[NormalizeHost(host)]
}

// Tenants lists each tenant once, by name; the list is not to be written to.
func (v *RoutingTable) Tenants() (tenants []*Tenant) { return v.listed }

// TenantByName gives a tenant by its name, nil where there is none.
func (v *RoutingTable) TenantByName(name string) (tenant *Tenant) { return v.named[name] }

// HomeRegions gives the regions that a host's keyed ways are bound to, none where it
// has no such way or they are bound to different ones. Other ways do not
// matter: they keep no answers and may be served from there as well.
func (v *RoutingTable) HomeRegions(host string) (homes []string) {
	for _, way := range v.hosts[NormalizeHost(host)] {
		if way.Type != Keyed || len(way.AllowedRegions) == 0 {
			continue
		}
		if homes != nil && !alike(homes, way.AllowedRegions) {
			return nil
		}
		homes = way.AllowedRegions
	}
	return homes
}

func alike(one, other []string) bool {
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
