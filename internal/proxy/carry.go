// Carry makes a request's plan and carries it out: the tenant's limit first,
// before anything is taken; then the way; for a keyed way the claim, before
// the request leaves; then the rounds.
package proxy

import (
	"math/rand"
	"strconv"
	"strings"
	"time"

	"tinpin/internal/apierror"
	"tinpin/internal/config"
	"tinpin/internal/healthcheck"
	"tinpin/internal/idempotency"
	"tinpin/internal/rpc"
)

// hedgeTargetShare is the part of the aim after which a silent backend is doubted.
const hedgeTargetShare = 0.55

// hedgeLatencyFactor is how many times the usual of now it must have taken as well: a
// service that is pressed is only pressed more by asking twice.
const hedgeLatencyFactor = 2.2

// capacityPollInterval is how often a request that found all backends full looks again;
// it does so no longer than a refusal still lets the client come back in time.
const capacityPollInterval = 12 * time.Millisecond

// newPlan makes the plan of a request, or says why there is none.
func (d *Daemon) newPlan(request *Request, deadline string) (plan *Plan, kind apierror.Kind, back time.Duration) {
	scene := d.state.Snapshot()
	now := d.clock.Now()
	if d.state.Policies.CutOff() {
		return nil, apierror.Isolated, 0
	}
	if !scene.Configured {
		return nil, apierror.NotConfigured, 0
	}
	path := request.Target
	if at := strings.IndexByte(path, '?'); at >= 0 {
		path = path[:at]
	}
	way := scene.View.Find(request.Host, path)
	if way == nil {
		return nil, apierror.NoRoute, 0
	}
	if request.ID == "" {
		return nil, apierror.BadRequest, 0
	}
	if request.Pipelined && !way.Repeat.Repeatable() {
		// The way has changed since the door looked.
		return nil, apierror.Overloaded, 0
	}
	tenant := scene.View.Tenant(request.Host)
	if tenant != nil {
		if admitted, wait := d.tenantLimits.Admit(now, tenant); !admitted {
			return nil, apierror.RateLimited, wait
		}
	}
	left := way.Timeout
	if left <= 0 {
		left = time.Minute
	}
	if deadline != "" {
		if number, err := strconv.ParseInt(deadline, 10, 64); err == nil {
			left = min(left, time.Duration(number)*time.Millisecond)
		}
	}
	if left <= 0 {
		return nil, apierror.DeadlineTooShort, 0
	}
	plan = &Plan{Route: way, Service: pickTarget(way, rand.Float64()), Request: request, StartedAt: now, Deadline: now + left, AttemptsLeft: way.Rounds}
	request.StreamBody = way.Repeat == config.Download
	d.state.Policies.Sessions.assignSession(plan, tenant)
	if way.Repeat == config.Keyed {
		plan.Key = request.operationKey()
		if plan.Key == "" {
			return nil, apierror.MissingKey, 0
		}
		if tenant != nil {
			plan.Key = tenant.Name + "/" + plan.Key
		}
	}
	d.retryBudget.RecordRequest(now, plan.Service)
	return plan, apierror.None, 0
}

// Handle plans a request and carries the plan out.
func (d *Daemon) Handle(request *Request, deadline string) (verdict Response) {
	plan, kind, back := d.newPlan(request, deadline)
	if kind != apierror.None {
		return ErrorResponseAfter(kind, request.ID, back)
	}
	if plan.Key != "" {
		return d.executeKeyed(plan)
	}
	verdict, kind = d.execute(plan)
	if kind != apierror.None {
		return ErrorResponse(kind, request.ID)
	}
	return verdict
}

// execute goes through the rounds of a plan, once the throttle lets it.
func (d *Daemon) execute(plan *Plan) (verdict Response, kind apierror.Kind) {
	if plan.Session != "" {
		if kind = d.bind(plan); kind != apierror.None {
			return verdict, plan.errorKind(kind)
		}
	}
	throttle := d.concurrency.forService(string(plan.Service))
	for !throttle.Acquire(plan.Route.Priority) {
		if !d.mayWaitForCapacity(plan) {
			return verdict, plan.errorKind(apierror.Overloaded)
		}
		time.Sleep(capacityPollInterval)
	}
	defer throttle.Release()
	return d.attemptOrServerError(plan, throttle)
}

// mayWaitForCapacity tells whether a request may look for room once more, so that a
// refusal still lets the client come back in time.
func (d *Daemon) mayWaitForCapacity(plan *Plan) bool {
	return d.clock.Now()+capacityPollInterval < min(plan.StartedAt+plan.Route.Aim/5, plan.Deadline)
}

// attemptOrServerError sends a plan's request until there is an answer or a problem. Where a
// backend told of its own failure and no other gave an answer, its word is it.
func (d *Daemon) attemptOrServerError(plan *Plan, throttle *ConcurrencyLimiter) (verdict Response, kind apierror.Kind) {
	verdict, kind = d.runAttempts(plan, throttle)
	if kind != apierror.None && plan.LastServerError != nil {
		return *plan.LastServerError, apierror.None
	}
	return verdict, kind
}

func (d *Daemon) runAttempts(plan *Plan, throttle *ConcurrencyLimiter) (verdict Response, kind apierror.Kind) {
	arrived := 0
	for {
		now := d.clock.Now()
		if now >= plan.Deadline {
			return verdict, plan.errorKind(apierror.DeadlineTooShort)
		}
		scene := d.state.Snapshot()
		server, any := d.state.chooseEndpoint(scene, d.criteria(plan, plan.Tried))
		if server == nil {
			if any && d.mayWaitForCapacity(plan) {
				time.Sleep(capacityPollInterval)
				continue
			}
			if any {
				return verdict, plan.errorKind(apierror.Overloaded)
			}
			return verdict, plan.errorKind(apierror.NoBackend)
		}
		if arrived > 0 && !d.allowRetry(now, plan, server) {
			return verdict, plan.errorKind(apierror.Overloaded)
		}
		round, answering := d.attemptWithHedge(plan, server, now, &arrived)
		if round.Sent {
			ended := d.clock.Now()
			d.retryBudget.RecordOutcome(ended, plan.Service, round.Outcome == Complete && (plan.Route.Aim <= 0 || ended-now <= plan.Route.Aim))
		}
		if round.Outcome == Complete {
			throttle.ObserveLatency(d.clock.Now()-now, plan.Route.Aim)
		}
		step, problemKind := plan.Next(d.clock.Now(), answering.ID, round)
		if round.Outcome == ServerError {
			if round.Response.BodyRest != nil {
				return round.Response, apierror.None
			}
			plan.LastServerError = &round.Response
		}
		switch step {
		case StepRetry:
			if plan.BoundBackend != "" {
				// The same backend is asked again; it gets a moment.
				time.Sleep(capacityPollInterval)
			}
		case StepRespond:
			return round.Response, apierror.None
		case StepFail:
			return verdict, problemKind
		}
	}
}

// allowRetry tells whether a plan may be sent once more, to a backend that answers
// as the service usually does now.
func (d *Daemon) allowRetry(now time.Duration, plan *Plan, server *Backend) (granted bool) {
	usual := time.Duration(server.stats.MeanLatency() * float64(time.Millisecond))
	return d.retryBudget.SpendRetry(now, now+usual, plan.Deadline, plan.Service)
}

// endedAttempt is a round that has ended, and with whom.
type endedAttempt struct {
	attempt Attempt
	backend *Backend
}

// attemptWithHedge sends to one backend. Where the request may be repeated and the
// backend says nothing for a good part of the aim, neither to this request nor
// to any other, a second one is asked beside it and the first whole answer is
// taken; what comes later is let go.
func (d *Daemon) attemptWithHedge(plan *Plan, server *Backend, chosen time.Duration, arrived *int) (round Attempt, answering *Backend) {
	wait := max(time.Duration(float64(plan.Route.Aim)*hedgeTargetShare), time.Duration(hedgeLatencyFactor*server.stats.MeanLatency())*time.Millisecond)
	if !plan.Route.Repeat.Repeatable() || plan.AttemptsLeft < 2 || wait <= 0 || plan.BoundBackend != "" {
		round = runAttempt(d.clock, server, plan.Request, d.attemptOptions(plan, chosen))
		if round.Sent {
			*arrived++
		}
		return round, server
	}
	ends := make(chan endedAttempt, 2)
	start := func(with *Backend, chosen time.Duration) {
		go func() {
			ends <- endedAttempt{runAttempt(d.clock, with, plan.Request, d.attemptOptions(plan, chosen)), with}
		}()
	}
	sentAt := d.clock.Now()
	start(server, chosen)
	running := 1
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case end := <-ends:
			running--
			if end.attempt.Sent {
				*arrived++
			}
			if end.attempt.Outcome == Complete || running == 0 {
				if running > 0 {
					go discard(ends)
				}
				return end.attempt, end.backend
			}
			// One of two has failed; the other may yet answer.
			plan.Next(d.clock.Now(), end.backend.ID, end.attempt)
		case <-timer.C:
			now := d.clock.Now()
			if !server.silentSince(sentAt) || now >= plan.Deadline {
				continue
			}
			tried := append([]rpc.EndpointID{server.ID}, plan.Tried...)
			second, _ := d.state.chooseEndpoint(d.state.Snapshot(), d.criteria(plan, tried))
			if second == nil || !d.allowRetry(now, plan, second) {
				continue
			}
			start(second, now)
			running++
		}
	}
}

// attemptOptions says how a plan's request goes out. What may not run twice is lost
// to a stream that its backend has forgotten, so its stream must be fresh.
func (d *Daemon) attemptOptions(plan *Plan, chosen time.Duration) (sending AttemptOptions) {
	sending = AttemptOptions{ChosenAt: chosen, Deadline: plan.Deadline, MaxIdle: defaultMaxIdle, Keyed: plan.Key != "", Bandwidth: d.bandwidth, Permitted: d.mayReceive, DisabledChecks: d.disabledChecks}
	if plan.BoundBackend != "" {
		sending.Permitted = func(server *Backend) bool {
			return !server.isDraining() && d.warmUpLeased(server) && d.state.Policies.KeepsSessions(d.clock.Now(), server.ID, plan.Service)
		}
	}
	if !plan.Route.Repeat.Repeatable() {
		sending.MaxIdle = d.settings.MaxIdleNonIdempotent
	}
	if plan.BoundBackend != "" && plan.wasTried(plan.BoundBackend) && !d.disabledChecks.has(ReuseRejectingConn) {
		// The backend has had this id before: what it may say to that a second
		// time must not be taken for what it says now.
		sending.MaxIdle = freshConnOnly
	}
	return sending
}

// criteria says what backend a plan's next round is for.
func (d *Daemon) criteria(plan *Plan, tried []rpc.EndpointID) (wanted Criteria) {
	wanted = Criteria{
		Service: plan.Service, TargetLatency: plan.Route.Aim, Homes: plan.Route.Homes, Tried: tried, Idempotent: plan.Route.Repeat.Repeatable(), Large: plan.Route.Repeat == config.Download,
		PlanWeights: d.state.Policies.PlanWeights(plan.Request.Host, plan.Service),
	}
	if plan.BoundBackend != "" {
		wanted.Bound, wanted.Tried, wanted.PlanWeights = plan.BoundBackend, nil, nil
		return wanted
	}
	if !wanted.Large {
		wanted.OverflowZone = d.state.Policies.OverflowZone(plan.Service)
	}
	return wanted
}

// mayReceive tells whether a backend may still be sent a new caller.
func (d *Daemon) mayReceive(server *Backend) bool {
	return !server.isDraining() && d.warmUpLeased(server) && d.state.Policies.AcceptsNew(d.clock.Now(), server.ID)
}

// warmUpLeased tells that a lease stands for a backend that is cold.
func (d *Daemon) warmUpLeased(server *Backend) bool {
	return !server.isWarmingUp(d.clock.Now()) || d.state.Leased(rpc.WarmupRate, string(server.ID)) > 0
}

// discard takes an answer that is not needed any more.
func discard(ends <-chan endedAttempt) {
	if end := <-ends; end.attempt.Response.Finish != nil {
		end.attempt.Response.Finish(false)
	}
}

// executeKeyed claims the key first.
func (d *Daemon) executeKeyed(plan *Plan) (verdict Response) {
	request := plan.Request
	if d.operations.Released(plan.Key, request.ID) {
		// The word that gave this claim back may still be under way, and would
		// give back a new one of the same name.
		return ErrorResponse(apierror.KeyOutcomeUnknown, request.ID)
	}
	op, old := d.operations.Begin(plan.Key, request.ID)
	if old != nil {
		return d.replay(d.leader.Fetch(old.Response(), plan.Key, old.Request()), request.ID)
	}
	limit := min(900*time.Millisecond, plan.Deadline-d.clock.Now())
	for tries := 0; ; tries++ {
		claimed := d.clock.Now()
		// A new leader may be there in a moment; the wait for one stays inside
		// the time in which a refusal still lets the client come back in time.
		found := d.leader.Claim(rpc.KeyClaim{Key: plan.Key, Request: request.ID}, plan.Route.Aim/4, limit)
		switch found.Outcome {
		case rpc.ClaimGranted:
			// The claim is worth its window from when it was asked for.
			plan.Deadline = min(plan.Deadline, claimed+d.settings.Bounds.KeyWindow)
		case rpc.ClaimHeld:
			var reply rpc.StoredResponse
			if found.Holder == rpc.NodeID(d.settings.Name) {
				if found.Incarnation == d.incarnation && d.operations.Released(plan.Key, found.Request) {
					reply.State = rpc.OperationReleased
					d.leader.Release(rpc.KeyClaim{Key: plan.Key, Request: found.Request})
				}
			} else {
				reply = d.leader.Recall(found, plan.Key)
			}
			if reply.State == rpc.OperationReleased && tries < 3 && d.clock.Now()+limit/2 < plan.Deadline {
				time.Sleep(d.recallPause)
				continue
			}
			d.operations.Abandon(op)
			return d.replay(reply, request.ID)
		case rpc.ClaimUnknown:
			// The claim may stand, but nothing will ever be sent under it.
			d.operations.Release(op)
			d.leader.Release(rpc.KeyClaim{Key: plan.Key, Request: request.ID})
			return ErrorResponse(apierror.NoLeader, request.ID)
		default:
			d.operations.Abandon(op)
			return ErrorResponse(apierror.NoLeader, request.ID)
		}
		break
	}
	verdict, kind := d.execute(plan)
	switch {
	case kind == apierror.None:
		d.storeResponse(op, plan, verdict)
		return verdict
	case plan.MayHaveRun && !(kind == apierror.BackendFailed && d.deduplicates(plan.Service)):
		d.operations.MarkLost(op)
	default:
		d.operations.Release(op)
		d.leader.Release(rpc.KeyClaim{Key: plan.Key, Request: request.ID})
	}
	return ErrorResponse(kind, request.ID)
}

// deduplicates tells that a service keeps its own record of keys, so that a run that
// broke off may be followed by another under the same key.
func (d *Daemon) deduplicates(name rpc.ServiceName) bool {
	service := d.state.Snapshot().View.Services[string(name)]
	return service != nil && service.Dedupes
}

// storeResponse keeps the answer of an operation for repeats. Only the homes of a way
// may store its answers; elsewhere the answer is handed to a fellow there.
func (d *Daemon) storeResponse(op *idempotency.HeldOperation, plan *Plan, verdict Response) {
	homes := plan.Route.Homes
	switch {
	case verdict.BodyRest != nil:
		d.operations.MarkLost(op)
	case config.AllowsRegion(homes, d.settings.Region):
		d.operations.Complete(op, verdict.Status, verdict.Headers, verdict.Body)
	default:
		go d.storeOnPeer(op, plan, verdict)
	}
}

// storeOnPeer lets a fellow within the homes of a way keep an answer.
func (d *Daemon) storeOnPeer(op *idempotency.HeldOperation, plan *Plan, verdict Response) {
	scene, absent := d.state.Snapshot(), d.state.AbsentNodes()
	var chosenInner string
	var best uint64
	for id, fellow := range scene.Nodes {
		if !fellow.Ready || fellow.Stopping || absent[id] || !config.AllowsRegion(plan.Route.Homes, string(fellow.Region)) {
			continue
		}
		if rank := healthcheck.Rank(string(id), plan.Key); chosenInner == "" || rank < best {
			chosenInner, best = fellow.InternalAddress, rank
		}
	}
	answer := rpc.StoredResponse{State: rpc.OperationCompleted, Status: verdict.Status, Headers: verdict.Headers, Body: verdict.Body}
	if chosenInner == "" || !d.leader.StoreAt(chosenInner, rpc.StoreRequest{Key: plan.Key, Request: plan.Request.ID, Response: answer}) {
		d.operations.MarkLost(op)
		return
	}
	d.operations.MarkMoved(op, chosenInner)
}

// replay answers a repeat from what its holder told.
func (d *Daemon) replay(reply rpc.StoredResponse, request string) (verdict Response) {
	switch reply.State {
	case rpc.OperationRunning:
		return ErrorResponse(apierror.KeyInUse, request)
	case rpc.OperationCompleted:
		verdict = Response{Status: reply.Status, Body: reply.Body, ContentLength: int64(len(reply.Body))}
		for _, line := range reply.Headers {
			if line[0] == headerRequestID {
				line[1] = request
			}
			verdict.Headers = append(verdict.Headers, line)
		}
		return verdict
	}
	return ErrorResponse(apierror.KeyOutcomeUnknown, request)
}
