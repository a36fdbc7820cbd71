package config

import (
	"time"

	"github.com/valyala/fastjson"
)

// The typed forms of the items. Each parse function checks the fields of its item;
// references to other items are checked where an update is applied.

// RouteType tells whether requests of a route may be repeated.
type RouteType string

// The types of routes. Keyed requests carry an operation key and run once.
const (
	Idempotent    RouteType = "idempotent"
	Download      RouteType = "download"
	NonIdempotent RouteType = "non_idempotent"
	Keyed         RouteType = "keyed"
)

// Retryable tells that a request may run more than once.
func (r RouteType) Retryable() bool { return r == Idempotent || r == Download }

// Valid tells that it is one of the route types.
func (r RouteType) Valid() bool { return r.Retryable() || r == NonIdempotent || r == Keyed }

// Target is a service with its weight in a route's split.
type Target struct {
	Service string
	Weight  float64
}

// Route is where requests of a host and prefix go.
type Route struct {
	Name, Host, Prefix     string
	Type                   RouteType
	Timeout, LatencyTarget time.Duration
	Priority               int
	Targets                []Target
	MaxAttempts            int
	AllowedRegions         []string
	Version                Version
}

// Service is a set of backends and how to treat them.
type Service struct {
	Name             string
	HealthPath       string
	MaxConnections   int
	SelfDeduplicates bool
	SlowStart        time.Duration
	SlowStartRate    float64
}

// Tenant bounds the requests to its hosts.
type Tenant struct {
	Name        string
	Hosts       []string
	Rate, Burst float64
}

// ClientLimits bounds what a client may send and how long it may take.
type ClientLimits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// DefaultLimits hold until the operator has set any.
var DefaultLimits = ClientLimits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   64 << 20,
	HeaderTimeout:  5 * time.Second,
	IdleTimeout:    30 * time.Second,
}

func parseRoute(name string, f *fields) (route *Route) {
	route = &Route{Name: name}
	route.Host = f.text("hostname", true)
	route.Prefix = f.text("path_prefix", true)
	if route.Prefix != "" && (route.Prefix[0] != '/' || route.Prefix[len(route.Prefix)-1] != '/') {
		f.fail("path_prefix", "must begin and end with a slash")
	}
	route.Type = RouteType(f.text("route_type", true))
	if !route.Type.Valid() {
		f.fail("route_type", "matches none of the kinds")
	}
	route.Timeout = f.duration("timeout", true)
	route.LatencyTarget = f.duration("target_latency", false)
	if route.LatencyTarget-route.Timeout >= time.Minute {
		f.fail("target_latency", "sits a minute or more above the timeout")
	}
	route.Priority = int(f.number("priority", 0, 0))
	route.MaxAttempts = int(f.number("max_attempts", 1, 0))
	if route.MaxAttempts < 1 {
		route.MaxAttempts = 1
	}
	route.AllowedRegions = f.texts("allowed_regions")
	route.Targets = parseTargets(f)
	return route
}

// parseTargets reads the split of a route over services or its only service; a split
// that is not empty takes precedence.
func parseTargets(f *fields) (targets []Target) {
	service := f.text("service_name", false)
	split := f.get("traffic_split")
	switch {
	case split != nil && split.Type() != fastjson.TypeArray:
		f.fail("traffic_split", "must be a list")
		return nil
	case split != nil && len(split.GetArray()) > 0:
		return parseSplit(f, split.GetArray())
	case service == "":
		f.fail("service_name", "is missing")
		return nil
	}
	return []Target{{service, 1}}
}

func parseSplit(f *fields, parts []*fastjson.Value) (targets []Target) {
	sum := 0.0
	for _, part := range parts {
		service, isText := textOf(part.Get("service_name"))
		if part.Type() != fastjson.TypeObject || !isText {
			f.fail("traffic_split", "has a part without a service")
			continue
		}
		weight, err := 0.0, error(nil)
		if part.Get("weight") != nil {
			weight, err = part.Get("weight").Float64()
		}
		if err != nil || weight < 0 {
			f.fail("traffic_split", "has a weight that is no number of 0 or more")
			continue
		}
		sum += weight
		targets = append(targets, Target{service, weight})
	}
	if sum <= 0 {
		f.fail("traffic_split", "has weights that sum to 0")
	}
	return targets
}

func parseService(name string, f *fields) (service *Service) {
	service = &Service{Name: name}
	service.HealthPath = f.text("health_check_path", false)
	if service.HealthPath != "" && service.HealthPath[0] != '/' {
		f.fail("health_check_path", "must begin with a slash")
	}
	if service.HealthPath == "" {
		service.HealthPath = "/health"
	}
	service.MaxConnections = int(f.number("max_connections", 0, 0))
	if protocol := f.text("protocol", false); protocol != "" && protocol != "h1" {
		f.fail("protocol", "is not spoken here")
	}
	if f.flag("tls_enabled") {
		f.fail("tls_enabled", "is not offered")
	}
	service.SelfDeduplicates = f.flag("self_dedupes")
	service.SlowStart = f.duration("cold_start", false)
	service.SlowStartRate = f.number("cold_per_s", 0, 0)
	return service
}

func parseTenant(name string, f *fields) (tenant *Tenant) {
	tenant = &Tenant{Name: name}
	tenant.Hosts = f.texts("hostnames")
	if len(tenant.Hosts) == 0 {
		f.fail("hostnames", "must name one host or more")
	}
	for i, host := range tenant.Hosts {
		if host == "" {
			f.fail("hostnames", "holds an empty host")
		}
		for _, other := range tenant.Hosts[:i] {
			if other == host {
				f.fail("hostnames", "names a host twice")
			}
		}
	}
	if f.get("rate") == nil {
		f.fail("rate", "is missing")
	}
	tenant.Rate = f.number("rate", 0, 0)
	if f.get("rate") != nil && tenant.Rate <= 0 {
		f.fail("rate", "must be above 0")
	}
	tenant.Burst = f.number("burst", tenant.Rate, 0)
	return tenant
}

func parseLimits(f *fields) (limits *ClientLimits) {
	defaults := DefaultLimits
	limits = &defaults
	limits.MaxHeaderBytes = int(f.number("max_header_bytes", float64(defaults.MaxHeaderBytes), 1))
	limits.MaxBodyBytes = int(f.number("max_body_bytes", float64(defaults.MaxBodyBytes), 0))
	if f.get("header_timeout") != nil {
		limits.HeaderTimeout = f.duration("header_timeout", true)
	}
	if f.get("idle_timeout") != nil {
		limits.IdleTimeout = f.duration("idle_timeout", true)
	}
	return limits
}
