package coordinator

import (
	"time"

	"tinpin/internal/config"
	"tinpin/internal/quota"
	"tinpin/internal/rpc"
)

const (
	leaseDuration = 1600 * time.Millisecond
	// warmUpWindow is the window that the rate of a backend that is warming up
	// is counted in.
	warmUpWindow = 1200 * time.Millisecond
	// retrySlackShare is the part of the configured slack that is granted.
	retrySlackShare = 0.7
	// ratePerSubsetMember is how much of a warming backend's rate, in requests a
	// second, is worth one more node to share it.
	ratePerSubsetMember = 3
)

// leaseTable is what is granted of each fleet-wide limit.
type leaseTable struct {
	// rates holds the retry slack and the rates of backends that are warming up.
	rates *quota.Allocator
	// tenants and retries hold the tenants' limits and the limit on retries.
	tenants, retries *quota.RateAllocator
	// warmingUp lists the backends whose rate is granted now.
	warmingUp []rpc.EndpointID
}

// newLeaseTable is empty. Unless this is the first term of all, nothing is
// granted until the leases of older leaders have run out.
func newLeaseTable(first bool) (t leaseTable) {
	t = leaseTable{
		rates:   quota.NewAllocator(0, leaseDuration),
		tenants: quota.NewTenantAllocator(0, leaseDuration, first),
		retries: quota.NewRateAllocator(quota.RetryLeases, 0, leaseDuration, first),
	}
	if first {
		t.rates = quota.NewFirstAllocator(leaseDuration)
	}
	return t
}

// grantLeases gives a node its share of every limit; the caller holds mu.
func (c *Coordinator) grantLeases(now time.Duration, request rpc.HeartbeatRequest) (leases []rpc.Lease) {
	nodes := c.nodes.available
	if request.Stopping || nodes == 0 {
		return nil
	}
	slack := c.settings.Bounds.RetryBudgetSlack * retrySlackShare
	lease, granted := c.leases.rates.Grant(now, quota.Key{Kind: rpc.RetrySlack}, slack, c.settings.Bounds.RetryWindow,
		request.ID, slack/float64(nodes))
	if granted {
		leases = append(leases, lease)
	}
	for _, demand := range request.TenantDemands {
		if tenant := c.routingTable.TenantByName(demand.Name); tenant != nil {
			leases = append(leases, c.leases.tenants.Grant(
				now, quota.TenantLimit(tenant), request.ID, nodes, demand)...)
		}
	}
	for _, demand := range request.RetryDemands {
		service := rpc.ServiceName(demand.Name)
		rule, limited := c.policies.retry.limit.RuleFor(service)
		if limited && rule.MinPerSecond > 0 && c.routingTable.Services[demand.Name] != nil {
			leases = append(leases, c.leases.retries.Grant(now, rule.Bound(service), request.ID, nodes, demand)...)
		}
	}
	for _, id := range c.leases.warmingUp {
		if lease, granted = c.grantWarmUp(now, request.ID, id); granted {
			leases = append(leases, lease)
		}
	}
	return leases
}

// grantWarmUp gives a node its share of the rate of a backend that is warming up.
func (c *Coordinator) grantWarmUp(
	now time.Duration, node rpc.NodeID, id rpc.EndpointID,
) (lease rpc.Lease, granted bool) {
	endpoint, listed := c.endpoints.Endpoints.Get(id)
	if !listed || endpoint.Draining || c.health.WarmupUntil(id)+time.Second < now {
		return lease, false
	}
	service := c.warmUpLimited(endpoint)
	if service == nil {
		return lease, false
	}
	isMember, members := c.nodes.sharesWarmUp(node, endpoint, service.SlowStartRate, c.settings.ZoneRegions)
	if !isMember {
		return lease, false
	}
	key := quota.Key{Kind: rpc.WarmupRate, Name: string(id)}
	rate := service.SlowStartRate
	return c.leases.rates.Grant(now, key, rate, warmUpWindow, node, rate/float64(members))
}

// warmUpLimited gives a backend's service where that limits the rate of backends
// that are warming up, else nil.
func (c *Coordinator) warmUpLimited(endpoint rpc.Endpoint) (service *config.Service) {
	service = c.routingTable.Services[string(endpoint.Service)]
	if service == nil || service.SlowStartRate <= 0 {
		return nil
	}
	return service
}
