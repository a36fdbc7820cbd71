// Package settings owns the settings a daemon is started with: their types, and
// how the file made from deploy/settings.tmpl is read and checked. What a daemon
// does with them is not its business. Settings are plain values: any goroutine
// may read one, none changes it after Parse.
package settings

import (
	"net"
	"os"
	"strconv"
	"time"
)

// Settings are the checked settings of one daemon.
type Settings struct {
	// Name is unique in the fleet and kept over restarts.
	Name string
	// Address is the daemon's own IP number.
	Address      string
	Zone, Region string
	// ZoneRegions is the region of each zone.
	ZoneRegions map[string]string
	// FirstStart is true only on the very first start of the whole system.
	FirstStart bool
	// DataDirectory holds a controller's disk.
	DataDirectory string
	// The listeners of a proxy, and ControlAddress of a controller; empty where
	// the daemon has none.
	FrontendAddress, ReadinessAddress, DirectoryAddress, ControlAddress string
	// InternalPortLow and InternalPortHigh bound the ports between daemons.
	InternalPortLow, InternalPortHigh int
	// Seeds are the control addresses of some controllers.
	Seeds                        []string
	MemoryMB, MaxFileDescriptors int
	// PlatformAddress gives the endpoint list; PlatformRate is the calls a second
	// that the platform takes from all daemons together.
	PlatformAddress string
	PlatformRate    float64
	// MetricsAddress serves the daemon's own figures; empty for none.
	MetricsAddress string
	// EventsURL receives CloudEvents; empty for none.
	EventsURL string
	Bounds    Bounds
	// SendInterval is every wait of the sharded health checks.
	SendInterval         time.Duration
	HealthCheckInterval  time.Duration
	EndpointListInterval time.Duration
	// SubsetSize is how many nodes of a zone use each backend first.
	SubsetSize int
	// MaxIdleNonIdempotent is how long a connection may have been idle that
	// carries a request which must not run twice.
	MaxIdleNonIdempotent time.Duration
	// ToleratedMachineLosses is how many controllers may be lost at once.
	ToleratedMachineLosses int
	// ToleratedZoneLosses is how many zones may be lost at once.
	ToleratedZoneLosses int
	// LinkMbps is the daemon's own bandwidth in megabits a second, 0 for no limit.
	LinkMbps float64
	// CPUShare is the part of a processor this daemon has.
	CPUShare float64
}

// Bounds are the figures of the platform's rules that are in force; their
// names are the platform's.
type Bounds struct {
	// AddressReuse is how soon an address may belong to another backend.
	AddressReuse time.Duration
	// Contact is how long a daemon must have been undisturbed to be in touch.
	Contact time.Duration
	// CatchUp is the time in which a new or returned controller is at full strength.
	CatchUp time.Duration
	// Drain is how long a draining backend goes on serving.
	Drain time.Duration
	// GracePeriod lies between SIGTERM and SIGKILL.
	GracePeriod time.Duration
	// ConfigApply is the time in which an acknowledged change holds everywhere.
	ConfigApply time.Duration
	// RetryBudgetRatio and RetryBudgetSlack limit the retries in a RetryWindow.
	RetryBudgetRatio, RetryBudgetSlack float64
	RetryWindow                        time.Duration
	// KeyWindow is how long an operation key counts.
	KeyWindow time.Duration
	// ColdOverage and ColdSlack limit the load on backends that are warming up.
	ColdOverage, ColdSlack float64
	// MaxTTL is the longest time for which a directory answer counts.
	MaxTTL time.Duration
}

// Load reads and checks the file at path.
func Load(path string) (settings Settings, err error) {
	if path == "" {
		return settings, ErrNoFile
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return settings, &ReadError{Path: path, Err: err}
	}
	return Parse(raw)
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
