package proxy

import (
	"context"
	"hash/fnv"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"tinpin/internal/affinity"
	"tinpin/internal/apierror"
	"tinpin/internal/config"
	"tinpin/internal/message"
	"tinpin/internal/rpc"
)

// maxRememberedSessions is how many sessions a node remembers.
const maxRememberedSessions = 20_000

// Sessions keep a client on the backend where its session began. A plan whose request
// names a session is bound to one backend before anything is sent: by what was asked
// for lately, or by asking the leader, which binds a new session to the backend that
// its hash gives. While the leader cannot be asked the request is refused, unless it
// is idempotent and the policy has it served.
type Sessions struct {
	policy atomic.Pointer[affinity.Policy]

	binder *affinity.Binder

	mu       sync.Mutex
	findings [affinity.TooLong + 1]uint64
	unkept   uint64
	refused  uint64
}

// SessionsStatus is how sessions stand at one node.
type SessionsStatus struct {
	Remembered int    `json:"remembered"`
	Dropped    uint64 `json:"dropped"`
	Named      uint64 `json:"named"`
	// Missing, Repeated, Malformed and TooLong count requests that named no
	// session for that reason.
	Missing   uint64 `json:"missing"`
	Repeated  uint64 `json:"repeated"`
	Malformed uint64 `json:"malformed"`
	TooLong   uint64 `json:"too_long"`
	// Unkept were served without a session because there are too many, Refused
	// because their backend could not be asked for; Moved is bindings this node
	// has seen change.
	Unkept  uint64 `json:"unkept"`
	Refused uint64 `json:"refused"`
	Moved   uint64 `json:"moved"`
}

// NewSessions knows no policy.
func NewSessions() (sessions *Sessions) {
	return &Sessions{binder: affinity.NewBinder(maxRememberedSessions)}
}

// Set takes the policy in force, nil for none.
func (s *Sessions) Set(policy *affinity.Policy) { s.policy.Store(policy) }

// Status tells how they stand, nil where there is no policy.
func (s *Sessions) Status() (account *SessionsStatus) {
	if s.policy.Load() == nil {
		return nil
	}
	remembered, dropped, moved := s.binder.Stats()
	s.mu.Lock()
	defer s.mu.Unlock()
	return &SessionsStatus{
		Remembered: remembered, Dropped: dropped, Moved: moved, Unkept: s.unkept, Refused: s.refused,
		Named: s.findings[affinity.Named], Missing: s.findings[affinity.Missing],
		Repeated: s.findings[affinity.Conflicting], Malformed: s.findings[affinity.Malformed],
		TooLong: s.findings[affinity.TooLong],
	}
}

// findSession names the session of a request at a service.
func (s *Sessions) findSession(
	policy *affinity.Policy, service rpc.ServiceName, asked affinity.NameSources,
) (rule affinity.Rule, name string, named bool) {
	rule, ruled := policy.RuleFor(service)
	if !ruled {
		return rule, "", false
	}
	name, finding := rule.FindName(asked)
	s.mu.Lock()
	s.findings[finding]++
	s.mu.Unlock()
	return rule, name, finding == affinity.Named
}

// unitHash gives a number from 0 to 1 that is the same for a name at all nodes.
func unitHash(name string) (at float64) {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return float64(hash.Sum64()>>11) / (1 << 53)
}

// assignSession gives a plan its session, where its request names one. Of a split way the
// name decides which service it goes to, so that the session stays there too.
func (s *Sessions) assignSession(plan *Plan, tenant *config.Tenant) {
	policy := s.policy.Load()
	if policy == nil {
		return
	}
	asked := affinityInput(plan.Request, tenant)
	if len(plan.Route.Targets) > 1 {
		for _, part := range plan.Route.Targets {
			if _, ruled := policy.RuleFor(rpc.ServiceName(part.Service)); !ruled {
				continue
			}
			if _, name, named := s.findSession(policy, rpc.ServiceName(part.Service), asked); named {
				plan.Service = pickTarget(plan.Route, unitHash(name))
			}
			break
		}
	}
	if rule, name, named := s.findSession(policy, plan.Service, asked); named {
		plan.Rule = rule
		plan.Session = affinity.SessionIDOf(plan.Service, plan.Route.AllowedRegions, name)
	}
}

// bind gives a plan with a session its backend, or tells why there is none.
func (d *Daemon) bind(ctx context.Context, plan *Plan) (kind apierror.Kind) {
	s, idle := d.state.Policies.Sessions, time.Duration(plan.Rule.Idle)
	limit := min(900*time.Millisecond, plan.Deadline-d.clock.Now())
	server, outcome := s.binder.Bind(plan.Session, idle, affinity.RequestView{
		Now:       d.clock.Now,
		MustLeave: func(server rpc.EndpointID) bool { return d.mustMove(d.state.Snapshot(), plan, server) },
		ChooseNew: func() rpc.EndpointID { return d.placeSession(d.state.Snapshot(), plan) },
		AskLeader: func(from, choice rpc.EndpointID) rpc.BindResult {
			binding := rpc.SessionBinding{
				Session: plan.Session, Service: plan.Service, Endpoint: choice, EndedEndpoint: from, IdleTimeout: idle,
			}
			return d.leader.Bind(ctx, binding, plan.Route.LatencyTarget/4, limit)
		},
	})
	plan.BoundBackend = server
	switch {
	case outcome == affinity.Bound:
		return apierror.None
	case outcome == affinity.Unbound, outcome == affinity.NoAnswer && plan.servedWithoutLeader():
		s.count(&s.unkept)
		return apierror.None
	}
	s.count(&s.refused)
	if outcome == affinity.NoBackend {
		return apierror.NoBackend
	}
	return apierror.SessionUnavailable
}

// servedWithoutLeader tells that a request may go to any backend while nobody can say where its session is.
func (p *Plan) servedWithoutLeader() bool {
	return p.Rule.WithoutLeader == affinity.WithoutLeaderServe && p.Route.Type.Retryable()
}

func (s *Sessions) count(what *uint64) {
	s.mu.Lock()
	*what++
	s.mu.Unlock()
}

// mustMove tells that a session may not stay on a backend: it has ended or is about
// to, its site is evacuated, or it was retired and has had its time.
func (d *Daemon) mustMove(snapshot *Snapshot, plan *Plan, id rpc.EndpointID) (moves bool) {
	backend := snapshot.backend(plan.Service, id)
	return backend == nil || !snapshot.serves(plan, backend) ||
		!d.state.Policies.KeepsSessions(d.clock.Now(), id, plan.Service)
}

// serves tells whether a backend that is listed serves a plan's route at all.
func (s *Snapshot) serves(plan *Plan, backend *Backend) bool {
	return !backend.isDraining() && !s.Evacuated[backend.Zone] &&
		config.AllowsRegion(plan.Route.AllowedRegions, string(backend.Region))
}

// placeSession chooses where a new session begins: among the backends of the region
// that are well and warm, else among those elsewhere, else among what there is.
func (d *Daemon) placeSession(snapshot *Snapshot, plan *Plan) (chosen rpc.EndpointID) {
	now := d.clock.Now()
	var here, away, rest []affinity.Candidate
	for _, backend := range snapshot.Services[plan.Service] {
		if !snapshot.serves(plan, backend) || !d.state.Policies.AcceptsNew(now, backend.ID) {
			continue
		}
		candidate := affinity.Candidate{ID: backend.ID, Weight: backend.Slots}
		switch {
		case !backend.healthyAndWarm(now):
			rest = append(rest, candidate)
		case string(backend.Region) == d.settings.Region:
			here = append(here, candidate)
		default:
			away = append(away, candidate)
		}
	}
	for _, candidates := range [][]affinity.Candidate{here, away, rest} {
		if len(candidates) > 0 {
			return affinity.Choose(plan.Session, candidates)
		}
	}
	return ""
}

// backend looks a backend of a service up; they are sorted by id.
func (s *Snapshot) backend(service rpc.ServiceName, id rpc.EndpointID) (server *Backend) {
	servers := s.Services[service]
	at := sort.Search(len(servers), func(i int) bool { return servers[i].ID >= id })
	if at < len(servers) && servers[at].ID == id {
		return servers[at]
	}
	return nil
}

// healthyAndWarm tells that a backend may be begun with.
func (b *Backend) healthyAndWarm(now time.Duration) (usable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.health != rpc.Unhealthy && now >= b.warmUpUntil && now >= b.unavailableUntil && !b.ejected
}

// affinityInput is the part of a request that may name its session.
func affinityInput(r *message.Request, tenant *config.Tenant) (asked affinity.NameSources) {
	asked = affinity.NameSources{Headers: r.Headers, Key: r.OperationKey()}
	if tenant != nil {
		asked.Tenant = tenant.Name
	}
	return asked
}
