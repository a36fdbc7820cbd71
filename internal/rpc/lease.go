package rpc

import "time"

// LeaseKind names a limit that the whole fleet has to keep.
type LeaseKind uint8

// The leased limits. Their numbers are sent.
const (
	// WarmupRate is the rate of requests to an endpoint that is warming up.
	WarmupRate LeaseKind = iota + 1
	// TenantShare is a part of a tenant's rate and burst, granted by demand for a
	// moment; TenantMinimum is the small part that a node keeps for minutes without
	// contact to the leader.
	TenantShare
	TenantMinimum
	// RetrySlack is the number of retries allowed beyond the ratio of the budget.
	RetrySlack
	// RetryShare and RetryMinimum are for a service's retry limit what TenantShare and
	// TenantMinimum are for a tenant's.
	RetryShare
	RetryMinimum
)

// Lease is a granted share of a limit. It lasts from when its holder sent the request
// for it.
type Lease struct {
	Kind     LeaseKind
	Key      string
	Amount   float64
	Duration time.Duration `wire:"Span"`
}

// RateDemand is how many requests a second a node sees of a tenant or retries of a
// service, and the guaranteed minimum that it holds.
type RateDemand struct {
	Name    string `wire:"Tenant"`
	Rate    float64
	Minimum float64 `wire:"Floor"`
}
