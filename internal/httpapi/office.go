// Package office answers tinpin's own interfaces over the generated server:
// the operator's calls, the directory and the readiness check. A daemon gives
// the office those duties it has; calls for the others are answered as not
// known here. Every failure goes through the one table of problems.
package httpapi

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/jx"
	"github.com/ogen-go/ogen/ogenerrors"

	"tinpin/api/oas"
	"tinpin/internal/apierror"
	"tinpin/internal/policy"
	"tinpin/internal/rpc"
)

// Error is a problem with the words for the one who called.
type Error struct {
	Kind     apierror.Kind
	Text     string
	Location string
}

func (t *Error) Error() string {
	if t.Text != "" {
		return t.Text
	}
	return t.Kind.Response().Text
}

// Handlers are what a daemon answers for; nil ones it does not.
type Handlers struct {
	UpdateConfig   func(ctx context.Context, body []byte) error
	DescribeConfig func(ctx context.Context) ([]byte, error)
	// Evacuate orders it or takes it back; id may name the order.
	Evacuate func(ctx context.Context, site string, start bool, id string) error
	Resolve  func(ctx context.Context, host, region, site string) ([]string, time.Duration, error)
	Ready    func() bool
	// SetDocument sets a document or, with check, only looks it over.
	SetDocument      func(ctx context.Context, kind policy.Kind, body []byte, check bool) error
	WithdrawDocument func(ctx context.Context, kind policy.Kind, version policy.Version) error
	ShowDocument     func(ctx context.Context, kind policy.Kind) ([]byte, error)
	// RetireBackend orders that a backend be retired, or takes that back; id may name the order.
	RetireBackend func(ctx context.Context, server rpc.EndpointID, back bool, id string) (phase string, err error)
}

type office struct{ duties Handlers }

var errElsewhere = &Error{Kind: apierror.NoRoute, Text: "this daemon does not answer that"}

func (o office) ConfigUpdate(ctx context.Context, body jx.Raw) (done *oas.Done, err error) {
	if o.duties.UpdateConfig == nil {
		return nil, errElsewhere
	}
	if err = o.duties.UpdateConfig(ctx, body); err != nil {
		return nil, err
	}
	return &oas.Done{Status: "acknowledged"}, nil
}

func (o office) ConfigDescribe(ctx context.Context) (text jx.Raw, err error) {
	if o.duties.DescribeConfig == nil {
		return nil, errElsewhere
	}
	return o.duties.DescribeConfig(ctx)
}

func (o office) evacuate(ctx context.Context, site string, start bool, id string) (done *oas.Done, err error) {
	if o.duties.Evacuate == nil {
		return nil, errElsewhere
	}
	if err = o.duties.Evacuate(ctx, site, start, id); err != nil {
		return nil, err
	}
	return &oas.Done{Status: "acknowledged"}, nil
}

func (o office) EvacuationStart(ctx context.Context, params oas.EvacuationStartParams) (done *oas.Done, err error) {
	return o.evacuate(ctx, params.Zone, true, params.Order.Or(""))
}

func (o office) EvacuationStop(ctx context.Context, params oas.EvacuationStopParams) (done *oas.Done, err error) {
	return o.evacuate(ctx, params.Zone, false, params.Order.Or(""))
}

func (o office) Resolve(ctx context.Context, params oas.ResolveParams) (directions *oas.Directions, err error) {
	if o.duties.Resolve == nil {
		return nil, errElsewhere
	}
	addresses, ttl, err := o.duties.Resolve(ctx, params.Name.Or(""), params.Region.Or(""), params.Zone.Or(""))
	if err != nil {
		return nil, err
	}
	return &oas.Directions{Addresses: addresses, TTL: ttl.String()}, nil
}

func (o office) Readiness(context.Context) (done *oas.Done, err error) {
	if o.duties.Ready == nil {
		return nil, errElsewhere
	}
	if !o.duties.Ready() {
		return nil, &Error{Kind: apierror.NotReady}
	}
	return &oas.Done{Status: "ready"}, nil
}

func (o office) OrderSet(ctx context.Context, body jx.Raw, params oas.OrderSetParams) (done *oas.Done, err error) {
	if o.duties.SetDocument == nil {
		return nil, errElsewhere
	}
	check := params.Check.Or(false)
	if err = o.duties.SetDocument(ctx, policy.Kind(params.Kind), body, check); err != nil {
		return nil, err
	}
	if check {
		return &oas.Done{Status: "good"}, nil
	}
	return &oas.Done{Status: "acknowledged"}, nil
}

func (o office) OrderWithdraw(ctx context.Context, params oas.OrderWithdrawParams) (done *oas.Done, err error) {
	if o.duties.WithdrawDocument == nil {
		return nil, errElsewhere
	}
	if err = o.duties.WithdrawDocument(ctx, policy.Kind(params.Kind), policy.Version(params.Version)); err != nil {
		return nil, err
	}
	return &oas.Done{Status: "acknowledged"}, nil
}

func (o office) OrderShow(ctx context.Context, params oas.OrderShowParams) (text jx.Raw, err error) {
	if o.duties.ShowDocument == nil {
		return nil, errElsewhere
	}
	return o.duties.ShowDocument(ctx, policy.Kind(params.Kind))
}

func (o office) retire(ctx context.Context, server string, back bool, id string) (done *oas.Done, err error) {
	if o.duties.RetireBackend == nil {
		return nil, errElsewhere
	}
	phase, err := o.duties.RetireBackend(ctx, rpc.EndpointID(server), back, id)
	if err != nil {
		return nil, err
	}
	return &oas.Done{Status: phase}, nil
}

func (o office) BackendRetire(ctx context.Context, params oas.BackendRetireParams) (done *oas.Done, err error) {
	return o.retire(ctx, params.Instance, false, params.Order.Or(""))
}

func (o office) BackendRestore(ctx context.Context, params oas.BackendRestoreParams) (done *oas.Done, err error) {
	return o.retire(ctx, params.Instance, true, params.Order.Or(""))
}

func (o office) NewError(_ context.Context, err error) (other *oas.OtherStatusCodeWithHeaders) {
	trouble := &Error{Kind: apierror.OutcomeUnknown, Text: err.Error()}
	if !errors.As(err, &trouble) {
		var coded ogenerrors.Error
		if errors.As(err, &coded) {
			trouble.Kind = apierror.BadRequest
		}
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			trouble.Kind = apierror.BodyTooLarge
		}
	}
	answer := trouble.Kind.Response()
	other = &oas.OtherStatusCodeWithHeaders{StatusCode: answer.Status, Response: oas.Problem{ErrorMessage: trouble.Error()}}
	if trouble.Location != "" {
		other.Location = oas.NewOptString(trouble.Location)
	}
	if answer.RetryAfterMS > 0 {
		other.RetryAfter = oas.NewOptString(answer.RetryAfter())
	}
	return other
}

// MaxBodyBytes bounds the body of a call.
const MaxBodyBytes = 32 << 20

type callerKey struct{}

// CallerAddress is the address of who asks, empty where it is not known.
func CallerAddress(ctx context.Context) (address string) {
	address, _ = ctx.Value(callerKey{}).(string)
	return address
}

// Handler makes the generated server for some duties.
func Handler(duties Handlers) (handler http.Handler, err error) {
	mine := office{duties}
	server, err := oas.NewServer(mine, oas.WithErrorHandler(func(ctx context.Context, w http.ResponseWriter, _ *http.Request, err error) {
		other := mine.NewError(ctx, err)
		encoder := &jx.Encoder{}
		other.Response.Encode(encoder)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(other.StatusCode)
		_, _ = w.Write(encoder.Bytes())
	}))
	if err != nil {
		return nil, err
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
		if duties.Resolve != nil {
			if host, _, splitErr := net.SplitHostPort(r.RemoteAddr); splitErr == nil {
				r = r.WithContext(context.WithValue(r.Context(), callerKey{}, host))
			}
		}
		server.ServeHTTP(w, r)
	}), nil
}

// Serve answers on an address until the returned server is closed.
func Serve(address string, duties Handlers) (server *http.Server, err error) {
	handler, err := Handler(duties)
	if err != nil {
		return nil, err
	}
	listener, err := rpc.Listen(address, 3*time.Second)
	if err != nil {
		return nil, err
	}
	server = &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second, MaxHeaderBytes: 16 << 10}
	go func(listener net.Listener) { _ = server.Serve(listener) }(listener)
	return server, nil
}
