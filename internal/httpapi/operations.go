package httpapi

import (
	"context"
	"time"

	"github.com/go-faster/jx"

	"tinpin/api/oas"
	"tinpin/internal/apierror"
	"tinpin/internal/policy"
	"tinpin/internal/rpc"
)

// Handlers are the calls that a program (controller or node) answers; those left nil it does not.
type Handlers struct {
	UpdateConfig   func(ctx context.Context, body []byte) error
	DescribeConfig func(ctx context.Context) ([]byte, error)
	// Evacuate starts or stops the evacuation of a zone; requestName may be empty.
	Evacuate func(ctx context.Context, zone string, start bool, requestName string) error
	// Resolve gives the addresses for a host, and how long they count.
	Resolve func(ctx context.Context, host, region, zone string) ([]string, time.Duration, error)
	Ready   func() bool
	// SetDocument sets a document or, with checkOnly, only validates it.
	SetDocument      func(ctx context.Context, kind policy.Kind, body []byte, checkOnly bool) error
	WithdrawDocument func(ctx context.Context, kind policy.Kind, version policy.Version) error
	ShowDocument     func(ctx context.Context, kind policy.Kind) ([]byte, error)
	// RetireBackend retires a backend or, with restore, takes that back. It gives
	// the phase reached; requestName may be empty.
	RetireBackend func(
		ctx context.Context, backend rpc.EndpointID, restore bool, requestName string,
	) (phase string, err error)
}

// api implements the generated server's interface with a program's handlers. The
// names of its methods are those of the operations in the API's description.
type api struct{ handlers Handlers }

var _ oas.Handler = api{}

// acknowledged is the response to a request that is in force.
func acknowledged() (done *oas.Done) { return &oas.Done{Status: "acknowledged"} }

// ConfigUpdate handles Config.Update.
func (a api) ConfigUpdate(ctx context.Context, body jx.Raw) (done *oas.Done, err error) {
	if a.handlers.UpdateConfig == nil {
		return nil, errNotServed
	}
	if err = a.handlers.UpdateConfig(ctx, body); err != nil {
		return nil, err
	}
	return acknowledged(), nil
}

// ConfigDescribe handles Config.Describe.
func (a api) ConfigDescribe(ctx context.Context) (text jx.Raw, err error) {
	if a.handlers.DescribeConfig == nil {
		return nil, errNotServed
	}
	return a.handlers.DescribeConfig(ctx)
}

// EvacuationStart handles Evacuations.Start.
func (a api) EvacuationStart(ctx context.Context, params oas.EvacuationStartParams) (done *oas.Done, err error) {
	return a.evacuate(ctx, params.Zone, true, params.Order.Or(""))
}

// EvacuationStop handles Evacuations.Stop.
func (a api) EvacuationStop(ctx context.Context, params oas.EvacuationStopParams) (done *oas.Done, err error) {
	return a.evacuate(ctx, params.Zone, false, params.Order.Or(""))
}

func (a api) evacuate(ctx context.Context, zone string, start bool, requestName string) (done *oas.Done, err error) {
	if a.handlers.Evacuate == nil {
		return nil, errNotServed
	}
	if err = a.handlers.Evacuate(ctx, zone, start, requestName); err != nil {
		return nil, err
	}
	return acknowledged(), nil
}

// Resolve handles the directory's queries.
func (a api) Resolve(ctx context.Context, params oas.ResolveParams) (directions *oas.Directions, err error) {
	if a.handlers.Resolve == nil {
		return nil, errNotServed
	}
	addresses, ttl, err := a.handlers.Resolve(ctx, params.Name.Or(""), params.Region.Or(""), params.Zone.Or(""))
	if err != nil {
		return nil, err
	}
	return &oas.Directions{Addresses: addresses, TTL: ttl.String()}, nil
}

// Readiness handles the readiness check.
func (a api) Readiness(context.Context) (done *oas.Done, err error) {
	if a.handlers.Ready == nil {
		return nil, errNotServed
	}
	if !a.handlers.Ready() {
		return nil, &Error{Kind: apierror.NotReady}
	}
	return &oas.Done{Status: "ready"}, nil
}

// OrderSet handles Orders.Set.
func (a api) OrderSet(ctx context.Context, body jx.Raw, params oas.OrderSetParams) (done *oas.Done, err error) {
	if a.handlers.SetDocument == nil {
		return nil, errNotServed
	}
	checkOnly := params.Check.Or(false)
	if err = a.handlers.SetDocument(ctx, policy.Kind(params.Kind), body, checkOnly); err != nil {
		return nil, err
	}
	if checkOnly {
		return &oas.Done{Status: "good"}, nil
	}
	return acknowledged(), nil
}

// OrderWithdraw handles Orders.Withdraw.
func (a api) OrderWithdraw(ctx context.Context, params oas.OrderWithdrawParams) (done *oas.Done, err error) {
	if a.handlers.WithdrawDocument == nil {
		return nil, errNotServed
	}
	if err = a.handlers.WithdrawDocument(ctx, policy.Kind(params.Kind), policy.Version(params.Version)); err != nil {
		return nil, err
	}
	return acknowledged(), nil
}

// OrderShow handles Orders.Show.
func (a api) OrderShow(ctx context.Context, params oas.OrderShowParams) (text jx.Raw, err error) {
	if a.handlers.ShowDocument == nil {
		return nil, errNotServed
	}
	return a.handlers.ShowDocument(ctx, policy.Kind(params.Kind))
}

// BackendRetire handles Backends.Retire.
func (a api) BackendRetire(ctx context.Context, params oas.BackendRetireParams) (done *oas.Done, err error) {
	return a.retire(ctx, params.Instance, false, params.Order.Or(""))
}

// BackendRestore handles Backends.Restore.
func (a api) BackendRestore(ctx context.Context, params oas.BackendRestoreParams) (done *oas.Done, err error) {
	return a.retire(ctx, params.Instance, true, params.Order.Or(""))
}

func (a api) retire(ctx context.Context, backend string, restore bool, requestName string) (done *oas.Done, err error) {
	if a.handlers.RetireBackend == nil {
		return nil, errNotServed
	}
	phase, err := a.handlers.RetireBackend(ctx, rpc.EndpointID(backend), restore, requestName)
	if err != nil {
		return nil, err
	}
	return &oas.Done{Status: phase}, nil
}
