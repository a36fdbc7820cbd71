// Package props reads the settings a daemon is started with. The file is made
// from deploy/props.tmpl; every field is checked, all findings are collected,
// and the caller sees one error that names each field at fault. Fields that
// this version does not know are left alone.
package settings

import (
	"net"
	"net/url"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"
	"github.com/zeebo/errs"
)

// Class marks the errors of unusable settings.
var Class = errs.Class("props")

// Bounds are the figures of the rules in force; zero where not given.
type Bounds struct {
	AddressReuse, Contact, CatchUp, Drain, GracePeriod, ConfigApply, RetryWindow, KeyWindow, MaxTTL time.Duration
	RetryBudgetRatio, RetryBudgetSlack, ColdOverage, ColdSlack                                      float64
}

// Settings are the checked settings of one daemon.
type Settings struct {
	Name, Address, Zone, Region, DataDirectory                          string
	ZoneRegions                                                         map[string]string
	FirstStart                                                          bool
	FrontendAddress, ReadinessAddress, ControlAddress, DirectoryAddress string
	InternalPortLow, InternalPortHigh                                   int
	Seeds                                                               []string
	MemoryMB, MaxFileDescriptors                                        int
	PlatformAddress                                                     string
	PlatformRate                                                        float64
	EventsURL                                                           string
	Bounds                                                              Bounds
	SendInterval, HealthCheckInterval                                   time.Duration
	EndpointListInterval                                                time.Duration
	// SubsetSize is how many daemons of a site use each backend first.
	SubsetSize int
	// MaxIdleNonIdempotent is how long a stream may have rested that carries a request
	// which may not run twice.
	MaxIdleNonIdempotent time.Duration
	// ToleratedMachineLosses is how many cores may be lost at once.
	ToleratedMachineLosses int
	// ToleratedZoneLosses is how many zones may be lost at once.
	ToleratedZoneLosses int
	// LinkMbps is the daemon's own bandwidth, 0 for no bound.
	LinkMbps float64
	// CPUShare is the part of a processor this daemon has.
	CPUShare float64
}

// reader walks the parsed file and gathers what is wrong with it.
type reader struct {
	problems []string
}

func (r *reader) fail(field, why string) { r.problems = append(r.problems, field+" "+why) }

func (r *reader) text(v *fastjson.Value, field string, needed bool) (text string) {
	found := v.Get(strings.Split(field, ".")...)
	if found == nil || found.Type() == fastjson.TypeNull {
		if needed {
			r.fail(field, "is missing")
		}
		return ""
	}
	if found.Type() != fastjson.TypeString {
		r.fail(field, "must be a text")
		return ""
	}
	text = string(found.GetStringBytes())
	if needed && text == "" {
		r.fail(field, "must not be empty")
	}
	return text
}

func (r *reader) address(v *fastjson.Value, field string) (address string) {
	address = r.text(v, field, false)
	if address == "" {
		return ""
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		r.fail(field, "must be an address with a port")
	}
	return address
}

func (r *reader) number(v *fastjson.Value, field string, low, usual float64) (number float64) {
	found := v.Get(strings.Split(field, ".")...)
	if found == nil || found.Type() == fastjson.TypeNull {
		return usual
	}
	number, err := found.Float64()
	if err != nil || number < low {
		r.fail(field, "must be a number of at least "+strconv.FormatFloat(low, 'g', -1, 64))
	}
	return number
}

func (r *reader) span(v *fastjson.Value, field string, usual time.Duration) (span time.Duration) {
	text := r.text(v, field, false)
	if text == "" {
		return usual
	}
	span, err := time.ParseDuration(text)
	if err != nil || span < 0 {
		r.fail(field, "must be a time such as 1500ms or 2.5s")
	}
	return span
}

// Load reads and checks the file at path.
func Load(path string) (props Settings, err error) {
	if path == "" {
		return props, Class.New("TINPIN_CONFIG names no settings file")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return props, Class.Wrap(err)
	}
	return Parse(raw)
}

// Parse checks the bytes of a settings file.
func Parse(raw []byte) (props Settings, err error) {
	v, err := fastjson.ParseBytes(raw)
	if err != nil {
		return props, Class.New("the file is not JSON: %v", err)
	}
	if v.Type() != fastjson.TypeObject {
		return props, Class.New("the file must hold one object")
	}
	r := &reader{}
	props.Name = r.text(v, "name", true)
	props.Address = r.text(v, "address", true)
	if props.Address != "" && net.ParseIP(props.Address) == nil {
		r.fail("address", "must be an IP number")
	}
	props.Zone = r.text(v, "site", true)
	props.Region = r.text(v, "region", true)
	props.DataDirectory = r.text(v, "data", false)
	props.FirstStart = v.GetBool("first_start")
	props.ZoneRegions = map[string]string{}
	if regions := v.GetObject("regions"); regions != nil {
		regions.Visit(func(site []byte, region *fastjson.Value) {
			props.ZoneRegions[string(site)] = string(region.GetStringBytes())
		})
	}
	props.FrontendAddress = r.address(v, "listen.frontend")
	props.ReadinessAddress = r.address(v, "listen.readiness")
	props.ControlAddress = r.address(v, "listen.control_plane")
	props.DirectoryAddress = r.address(v, "listen.directory_endpoint")
	ports := v.GetArray("inner_ports")
	if len(ports) != 2 || ports[0].GetInt() < 1 || ports[1].GetInt() < ports[0].GetInt()+1 || ports[1].GetInt() > 65535 {
		r.fail("inner_ports", "must be two ports, the second higher")
	} else {
		props.InternalPortLow, props.InternalPortHigh = ports[0].GetInt(), ports[1].GetInt()
	}
	for i, seed := range v.GetArray("seeds") {
		text := string(seed.GetStringBytes())
		if _, _, splitErr := net.SplitHostPort(text); splitErr != nil {
			r.fail("seeds."+strconv.Itoa(i), "must be an address with a port")
			continue
		}
		props.Seeds = append(props.Seeds, text)
	}
	if len(props.Seeds) == 0 {
		r.fail("seeds", "must name one daemon or more")
	}
	props.MemoryMB = int(r.number(v, "memory_mb", 16, 256))
	props.MaxFileDescriptors = int(r.number(v, "descriptors", 64, 1024))
	props.PlatformAddress = r.address(v, "platform.address")
	props.PlatformRate = r.number(v, "platform.rate_per_s", 0.01, 10)
	if props.EventsURL = r.text(v, "events_to", false); props.EventsURL != "" {
		if target, urlErr := url.Parse(props.EventsURL); urlErr != nil || target.Scheme != "http" || target.Host == "" {
			r.fail("events_to", "must be an http address")
		}
	}
	b := &props.Bounds
	b.AddressReuse = r.span(v, "bounds.address_reuse", 2*time.Second)
	b.Contact = r.span(v, "bounds.contact", 3*time.Second)
	b.CatchUp = r.span(v, "bounds.catch_up", 4*time.Second)
	b.Drain = r.span(v, "bounds.drain", 2500*time.Millisecond)
	b.GracePeriod = r.span(v, "bounds.grace_period", 6*time.Second)
	b.ConfigApply = r.span(v, "bounds.config_apply", 2500*time.Millisecond)
	b.RetryWindow = r.span(v, "bounds.retry_window", 10*time.Second)
	b.KeyWindow = r.span(v, "bounds.key_window", 60*time.Second)
	b.MaxTTL = r.span(v, "bounds.ttl_max", 5*time.Second)
	b.RetryBudgetRatio = r.number(v, "bounds.retry_budget_ratio", 0, 0.1)
	b.RetryBudgetSlack = r.number(v, "bounds.retry_budget_slack", 0, 0)
	b.ColdOverage = r.number(v, "bounds.cold_overage", 0, 1)
	b.ColdSlack = r.number(v, "bounds.cold_slack", 0, 0)
	props.SendInterval = r.span(v, "send_interval", 15*time.Second)
	props.HealthCheckInterval = r.span(v, "probe_interval", time.Second)
	props.EndpointListInterval = r.span(v, "list_interval", time.Second)
	props.SubsetSize = int(r.number(v, "backend_sharers", 1, 3))
	props.MaxIdleNonIdempotent = r.span(v, "rest_once", 250*time.Millisecond)
	props.ToleratedMachineLosses = int(r.number(v, "machine_losses", 0, 1))
	props.ToleratedZoneLosses = int(r.number(v, "zone_losses", 0, 0))
	props.LinkMbps = r.number(v, "link_mbps", 0, 0)
	props.CPUShare = r.number(v, "cpu_share", 0.001, 1)
	if props.HealthCheckInterval < 10*time.Millisecond {
		r.fail("probe_interval", "must be 10ms or more")
	}
	if props.EndpointListInterval < 10*time.Millisecond {
		r.fail("list_interval", "must be 10ms or more")
	}
	if len(r.problems) > 0 {
		sort.Strings(r.problems)
		return props, Class.New("%s", strings.Join(r.problems, "; "))
	}
	return props, nil
}

// ControllerInternalAddress is the address of the controller's internal
// listener: the first port of the range, so that a proxy may share the machine.
func (s Settings) ControllerInternalAddress() (address string) {
	return net.JoinHostPort(s.Address, strconv.Itoa(s.InternalPortLow))
}

// ProxyInternalAddress is the address of the proxy's internal listener: the
// second port of the range.
func (s Settings) ProxyInternalAddress() (address string) {
	return net.JoinHostPort(s.Address, strconv.Itoa(s.InternalPortLow+1))
}

// SeedInternalAddress is the internal address of the controller behind a seed,
// which names its control address; empty if the seed is no host and port.
func (s Settings) SeedInternalAddress(seed string) (address string) {
	host, _, err := net.SplitHostPort(seed)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(s.InternalPortLow))
}
