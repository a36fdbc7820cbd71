package config

import (
	"time"

	"github.com/valyala/fastjson"
)

// The typed forms of the items. Each checks its own fields; what needs a look at
// other items is checked where an update is applied.

// RouteType says what may be done again with a request of a way.
type RouteType string

// The kinds of ways.
const (
	Idempotent    RouteType = "idempotent"
	Download      RouteType = "download"
	NonIdempotent RouteType = "non_idempotent"
	Keyed         RouteType = "keyed"
)

// Retryable tells that a request may run more than once.
func (r RouteType) Retryable() bool { return r == Idempotent || r == Download }

// Valid tells that it is one of the kinds.
func (r RouteType) Valid() bool { return r.Retryable() || r == NonIdempotent || r == Keyed }

// Target is a service with its weight in a way's split.
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
var DefaultLimits = ClientLimits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}

func readWay(called string, f *fields) (way *Route) {
	way = &Route{Name: called}
	way.Host = f.text("hostname", true)
	way.Prefix = f.text("path_prefix", true)
	if way.Prefix != "" && (way.Prefix[0] != '/' || way.Prefix[len(way.Prefix)-1] != '/') {
		f.fail("path_prefix", "must begin and end with a slash")
	}
	way.Type = RouteType(f.text("route_type", true))
	if !way.Type.Valid() {
		f.fail("route_type", "matches none of the kinds")
	}
	way.Timeout = f.span("timeout", true)
	way.LatencyTarget = f.span("target_latency", false)
	if way.LatencyTarget-way.Timeout >= time.Minute {
		f.fail("target_latency", "sits a minute or more above the timeout")
	}
	way.Priority = int(f.number("priority", 0, 0))
	way.MaxAttempts = int(f.number("max_attempts", 1, 0))
	if way.MaxAttempts < 1 {
		way.MaxAttempts = 1
	}
	way.AllowedRegions = f.texts("allowed_regions")
	service := f.text("service_name", false)
	split := f.get("traffic_split")
	switch {
	case split != nil && split.Type() == fastjson.TypeArray && len(split.GetArray()) > 0:
		sum := 0.0
		for _, part := range split.GetArray() {
			if part.Type() != fastjson.TypeObject || part.Get("service_name") == nil || part.Get("service_name").Type() != fastjson.TypeString {
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
			way.Targets = append(way.Targets, Target{string(part.GetStringBytes("service_name")), weight})
		}
		if sum <= 0 {
			f.fail("traffic_split", "has weights that sum to 0")
		}
	case split != nil && split.Type() != fastjson.TypeArray:
		f.fail("traffic_split", "must be a list")
	case service == "":
		f.fail("service_name", "is missing")
	default:
		way.Targets = []Target{{service, 1}}
	}
	return way
}

func readService(called string, f *fields) (service *Service) {
	service = &Service{Name: called}
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
	service.SlowStart = f.span("cold_start", false)
	service.SlowStartRate = f.number("cold_per_s", 0, 0)
	return service
}

func readTenant(called string, f *fields) (tenant *Tenant) {
	tenant = &Tenant{Name: called}
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

func readLimits(f *fields) (limits *ClientLimits) {
	usual := DefaultLimits
	limits = &usual
	limits.MaxHeaderBytes = int(f.number("max_header_bytes", float64(usual.MaxHeaderBytes), 1))
	limits.MaxBodyBytes = int(f.number("max_body_bytes", float64(usual.MaxBodyBytes), 0))
	if f.get("header_timeout") != nil {
		limits.HeaderTimeout = f.span("header_timeout", true)
	}
	if f.get("idle_timeout") != nil {
		limits.IdleTimeout = f.span("idle_timeout", true)
	}
	return limits
}
