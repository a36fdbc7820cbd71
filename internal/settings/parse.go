package settings

import (
	"net"
	"net/url"
	"time"

	"github.com/valyala/fastjson"
)

// minInterval keeps a daemon from polling without a pause.
const minInterval = 10 * time.Millisecond

// renamedFields maps the field names of earlier releases to those of today. A
// file that has one is refused, since the field would be ignored otherwise.
var renamedFields = map[string]string{
	"site":            "zone",
	"regions":         "zone_regions",
	"data":            "data_directory",
	"inner_ports":     "internal_ports",
	"descriptors":     "max_file_descriptors",
	"machine_losses":  "tolerated_machine_losses",
	"zone_losses":     "tolerated_zone_losses",
	"backend_sharers": "backend_subset_size",
	"rest_once":       "max_idle_non_idempotent",
	"events_to":       "events_url",
	"probe_interval":  "health_check_interval",
	"list_interval":   "endpoint_list_interval",
}

// Parse checks the bytes of a settings file. Fields that this version does not
// know are ignored; what is wrong with the others is collected into one
// InvalidError.
func Parse(raw []byte) (settings Settings, err error) {
	file, err := fastjson.ParseBytes(raw)
	if err != nil {
		return settings, &SyntaxError{err}
	}
	if file.Type() != fastjson.TypeObject {
		return settings, ErrNotObject
	}
	r := newReader(file)
	settings.readIdentity(r)
	settings.readAddresses(r)
	settings.readLimits(r)
	settings.readIntervals(r)
	settings.Bounds.read(r)
	return settings, r.err()
}

func (s *Settings) readIdentity(r *reader) {
	s.Name = r.requiredText("name")
	s.Address = r.requiredText("address")
	if s.Address != "" && net.ParseIP(s.Address) == nil {
		r.fail("address", "must be an IP number")
	}
	s.Zone = r.requiredText("zone")
	s.Region = r.requiredText("region")
	s.ZoneRegions = r.table("zone_regions")
	s.FirstStart = r.flag("first_start")
	s.DataDirectory = r.text("data_directory")
}

func (s *Settings) readAddresses(r *reader) {
	s.FrontendAddress = r.address("listen.frontend")
	s.ReadinessAddress = r.address("listen.readiness")
	s.ControlAddress = r.address("listen.control_plane")
	s.DirectoryAddress = r.address("listen.directory_endpoint")
	s.InternalPortLow, s.InternalPortHigh = r.portRange("internal_ports")
	s.Seeds = r.addresses("seeds")
	if len(s.Seeds) == 0 {
		r.fail("seeds", "must name one daemon or more")
	}
	s.PlatformAddress = r.address("platform.address")
	s.MetricsAddress = r.address("metrics_address")
	s.EventsURL = r.text("events_url")
	if s.EventsURL != "" {
		if target, err := url.Parse(s.EventsURL); err != nil || target.Scheme != "http" || target.Host == "" {
			r.fail("events_url", "must be an http address")
		}
	}
}

func (s *Settings) readLimits(r *reader) {
	s.MemoryMB = int(r.number("memory_mb", 16, 256))
	s.MaxFileDescriptors = int(r.number("max_file_descriptors", 64, 1024))
	s.PlatformRate = r.number("platform.rate_per_s", 0.01, 10)
	s.SubsetSize = int(r.number("backend_subset_size", 1, 3))
	s.ToleratedMachineLosses = int(r.number("tolerated_machine_losses", 0, 1))
	s.ToleratedZoneLosses = int(r.number("tolerated_zone_losses", 0, 0))
	s.LinkMbps = r.number("link_mbps", 0, 0)
	s.CPUShare = r.number("cpu_share", 0.001, 1)
}

func (s *Settings) readIntervals(r *reader) {
	s.SendInterval = r.duration("send_interval", 15*time.Second)
	s.MaxIdleNonIdempotent = r.duration("max_idle_non_idempotent", 250*time.Millisecond)
	s.HealthCheckInterval = r.duration("health_check_interval", time.Second)
	if s.HealthCheckInterval < minInterval {
		r.fail("health_check_interval", "must be 10ms or more")
	}
	s.EndpointListInterval = r.duration("endpoint_list_interval", time.Second)
	if s.EndpointListInterval < minInterval {
		r.fail("endpoint_list_interval", "must be 10ms or more")
	}
}

func (b *Bounds) read(r *reader) {
	b.AddressReuse = r.duration("bounds.address_reuse", 2*time.Second)
	b.Contact = r.duration("bounds.contact", 3*time.Second)
	b.CatchUp = r.duration("bounds.catch_up", 4*time.Second)
	b.Drain = r.duration("bounds.drain", 2500*time.Millisecond)
	b.GracePeriod = r.duration("bounds.grace_period", 6*time.Second)
	b.ConfigApply = r.duration("bounds.config_apply", 2500*time.Millisecond)
	b.RetryWindow = r.duration("bounds.retry_window", 10*time.Second)
	b.KeyWindow = r.duration("bounds.key_window", 60*time.Second)
	b.MaxTTL = r.duration("bounds.ttl_max", 5*time.Second)
	b.RetryBudgetRatio = r.number("bounds.retry_budget_ratio", 0, 0.1)
	b.RetryBudgetSlack = r.number("bounds.retry_budget_slack", 0, 0)
	b.ColdOverage = r.number("bounds.cold_overage", 0, 1)
	b.ColdSlack = r.number("bounds.cold_slack", 0, 0)
}
