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

// hedgePart is the part of the aim after which a silent backend is doubted.
const hedgePart = 0.55

// hedgeTimes is how many times the usual of now it must have taken as well: a
// service that is pressed is only pressed more by asking twice.
const hedgeTimes = 2.2

// roomPause is how often a request that found all backends full looks again;
// it does so no longer than a refusal still lets the client come back in time.
const roomPause = 12 * time.Millisecond

// plan makes the plan of a request, or says why there is none.
func (d *Daemon) plan(request *Request, deadline string) (plan *Plan, kind apierror.Kind, back time.Duration) {
	scene := d.state.Snapshot()
	now := d.clock.Now()
	if d.state.Policies.CutOff() {
		return nil, apierror.CutOff, 0
	}
	if !scene.Configured {
		return nil, apierror.NotStarted, 0
	}
	path := request.Target
	if at := strings.IndexByte(path, '?'); at >= 0 {
		path = path[:at]
	}
	way := scene.View.Find(request.Host, path)
	if way == nil {
		return nil, apierror.NoWay, 0
	}
	if request.ID == "" {
		return nil, apierror.BadRequest, 0
	}
	if request.Pipelined && !way.Repeat.Repeatable() {
		// The way has changed since the door looked.
		return nil, apierror.NoRoom, 0
	}
	tenant := scene.View.Tenant(request.Host)
	if tenant != nil {
		if admitted, wait := d.tenantLimits.Admit(now, tenant); !admitted {
			return nil, apierror.OverLimit, wait
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
		return nil, apierror.TooLate, 0
	}
	plan = &Plan{Way: way, Service: pickTarget(way, rand.Float64()), Request: request, Started: now, Till: now + left, Rounds: way.Rounds}
	request.StreamBody = way.Repeat == config.Download
	d.state.Policies.Sessions.assignSession(plan, tenant)
	if way.Repeat == config.Keyed {
		plan.Key = request.operationKey()
		if plan.Key == "" {
			return nil, apierror.NoKey, 0
		}
		if tenant != nil {
			plan.Key = tenant.Name + "/" + plan.Key
		}
	}
	d.retryBudget.RecordRequest(now, plan.Service)
	return plan, apierror.None, 0
}

// Answer plans a request and carries the plan out.
func (d *Daemon) Answer(request *Request, deadline string) (verdict Response) {
	plan, kind, back := d.plan(request, deadline)
	if kind != apierror.None {
		return ErrorResponseAfter(kind, request.ID, back)
	}
	if plan.Key != "" {
		return d.carryKeyed(plan)
	}
	verdict, kind = d.carry(plan)
	if kind != apierror.None {
		return ErrorResponse(kind, request.ID)
	}
	return verdict
}

// carry goes through the rounds of a plan, once the throttle lets it.
func (d *Daemon) carry(plan *Plan) (verdict Response, kind apierror.Kind) {
	if plan.Session != "" {
		if kind = d.bind(plan); kind != apierror.None {
			return verdict, plan.refusal(kind)
		}
	}
	throttle := d.concurrency.forService(string(plan.Service))
	for !throttle.Acquire(plan.Way.Priority) {
		if !d.mayWait(plan) {
			return verdict, plan.refusal(apierror.NoRoom)
		}
		time.Sleep(roomPause)
	}
	defer throttle.Release()
	return d.rounds(plan, throttle)
}

// mayWait tells whether a request may look for room once more, so that a
// refusal still lets the client come back in time.
func (d *Daemon) mayWait(plan *Plan) bool {
	return d.clock.Now()+roomPause < min(plan.Started+plan.Way.Aim/5, plan.Till)
}

// rounds sends a plan's request until there is an answer or a problem. Where a
// backend told of its own failure and no other gave an answer, its word is it.
func (d *Daemon) rounds(plan *Plan, throttle *ConcurrencyLimiter) (verdict Response, kind apierror.Kind) {
	verdict, kind = d.search(plan, throttle)
	if kind != apierror.None && plan.Failure != nil {
		return *plan.Failure, apierror.None
	}
	return verdict, kind
}

func (d *Daemon) search(plan *Plan, throttle *ConcurrencyLimiter) (verdict Response, kind apierror.Kind) {
	arrived := 0
	for {
		now := d.clock.Now()
		if now >= plan.Till {
			return verdict, plan.refusal(apierror.TooLate)
		}
		scene := d.state.Snapshot()
		server, any := d.state.chooseEndpoint(scene, d.wanted(plan, plan.Tried))
		if server == nil {
			if any && d.mayWait(plan) {
				time.Sleep(roomPause)
				continue
			}
			if any {
				return verdict, plan.refusal(apierror.NoRoom)
			}
			return verdict, plan.refusal(apierror.NoBackend)
		}
		if arrived > 0 && !d.retry(now, plan, server) {
			return verdict, plan.refusal(apierror.NoRoom)
		}
		round, answering := d.round(plan, server, now, &arrived)
		if round.Sent {
			ended := d.clock.Now()
			d.retryBudget.RecordOutcome(ended, plan.Service, round.Outcome == Complete && (plan.Way.Aim <= 0 || ended-now <= plan.Way.Aim))
		}
		if round.Outcome == Complete {
			throttle.ObserveLatency(d.clock.Now()-now, plan.Way.Aim)
		}
		step, problemKind := plan.Learn(d.clock.Now(), answering.ID, round)
		if round.Outcome == ServerError {
			if round.Response.BodyRest != nil {
				return round.Response, apierror.None
			}
			plan.Failure = &round.Response
		}
		switch step {
		case TryAgain:
			if plan.Bound != "" {
				// The same backend is asked again; it gets a moment.
				time.Sleep(roomPause)
			}
		case GiveAnswer:
			return round.Response, apierror.None
		case GiveProblem:
			return verdict, problemKind
		}
	}
}

// retry tells whether a plan may be sent once more, to a backend that answers
// as the service usually does now.
func (d *Daemon) retry(now time.Duration, plan *Plan, server *Backend) (granted bool) {
	usual := time.Duration(server.stats.MeanLatency() * float64(time.Millisecond))
	return d.retryBudget.SpendRetry(now, now+usual, plan.Till, plan.Service)
}

// finished is a round that has ended, and with whom.
type finished struct {
	round  Attempt
	server *Backend
}

// round sends to one backend. Where the request may be repeated and the
// backend says nothing for a good part of the aim, neither to this request nor
// to any other, a second one is asked beside it and the first whole answer is
// taken; what comes later is let go.
func (d *Daemon) round(plan *Plan, server *Backend, chosen time.Duration, arrived *int) (round Attempt, answering *Backend) {
	wait := max(time.Duration(float64(plan.Way.Aim)*hedgePart), time.Duration(hedgeTimes*server.stats.MeanLatency())*time.Millisecond)
	if !plan.Way.Repeat.Repeatable() || plan.Rounds < 2 || wait <= 0 || plan.Bound != "" {
		round = runAttempt(d.clock, server, plan.Request, d.sending(plan, chosen))
		if round.Sent {
			*arrived++
		}
		return round, server
	}
	ends := make(chan finished, 2)
	start := func(with *Backend, chosen time.Duration) {
		go func() {
			ends <- finished{runAttempt(d.clock, with, plan.Request, d.sending(plan, chosen)), with}
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
			if end.round.Sent {
				*arrived++
			}
			if end.round.Outcome == Complete || running == 0 {
				if running > 0 {
					go letGo(ends)
				}
				return end.round, end.server
			}
			// One of two has failed; the other may yet answer.
			plan.Learn(d.clock.Now(), end.server.ID, end.round)
		case <-timer.C:
			now := d.clock.Now()
			if !server.silentSince(sentAt) || now >= plan.Till {
				continue
			}
			tried := append([]rpc.ServerID{server.ID}, plan.Tried...)
			second, _ := d.state.chooseEndpoint(d.state.Snapshot(), d.wanted(plan, tried))
			if second == nil || !d.retry(now, plan, second) {
				continue
			}
			start(second, now)
			running++
		}
	}
}

// sending says how a plan's request goes out. What may not run twice is lost
// to a stream that its backend has forgotten, so its stream must be fresh.
func (d *Daemon) sending(plan *Plan, chosen time.Duration) (sending AttemptOptions) {
	sending = AttemptOptions{ChosenAt: chosen, Deadline: plan.Till, MaxIdle: defaultMaxIdle, Keyed: plan.Key != "", Bandwidth: d.bandwidth, Permitted: d.may, DisabledChecks: d.disabledChecks}
	if plan.Bound != "" {
		sending.Permitted = func(server *Backend) bool {
			return !server.isDraining() && d.leased(server) && d.state.Policies.KeepsSessions(d.clock.Now(), server.ID, plan.Service)
		}
	}
	if !plan.Way.Repeat.Repeatable() {
		sending.MaxIdle = d.settings.MaxIdleNonIdempotent
	}
	if plan.Bound != "" && plan.asked(plan.Bound) && !d.disabledChecks.has(ReuseRejectingConn) {
		// The backend has had this id before: what it may say to that a second
		// time must not be taken for what it says now.
		sending.MaxIdle = freshConnOnly
	}
	return sending
}

// wanted says what backend a plan's next round is for.
func (d *Daemon) wanted(plan *Plan, tried []rpc.ServerID) (wanted Criteria) {
	wanted = Criteria{
		Service: plan.Service, TargetLatency: plan.Way.Aim, Homes: plan.Way.Homes, Tried: tried, Idempotent: plan.Way.Repeat.Repeatable(), Large: plan.Way.Repeat == config.Download,
		PlanWeights: d.state.Policies.PlanWeights(plan.Request.Host, plan.Service),
	}
	if plan.Bound != "" {
		wanted.Bound, wanted.Tried, wanted.PlanWeights = plan.Bound, nil, nil
		return wanted
	}
	if !wanted.Large {
		wanted.OverflowZone = d.state.Policies.OverflowZone(plan.Service)
	}
	return wanted
}

// may tells whether a backend may still be sent a new caller.
func (d *Daemon) may(server *Backend) bool {
	return !server.isDraining() && d.leased(server) && d.state.Policies.AcceptsNew(d.clock.Now(), server.ID)
}

// leased tells that a lease stands for a backend that is cold.
func (d *Daemon) leased(server *Backend) bool {
	return !server.isWarmingUp(d.clock.Now()) || d.state.Leased(rpc.ColdRate, string(server.ID)) > 0
}

// letGo takes an answer that is not needed any more.
func letGo(ends <-chan finished) {
	if end := <-ends; end.round.Response.Finish != nil {
		end.round.Response.Finish(false)
	}
}

// carryKeyed claims the key first.
func (d *Daemon) carryKeyed(plan *Plan) (verdict Response) {
	request := plan.Request
	if d.operations.Freed(plan.Key, request.ID) {
		// The word that gave this claim back may still be under way, and would
		// give back a new one of the same name.
		return ErrorResponse(apierror.KeyUnknown, request.ID)
	}
	op, old := d.operations.Open(plan.Key, request.ID)
	if old != nil {
		return d.recount(d.leader.Fetch(old.Recall(), plan.Key, old.Request()), request.ID)
	}
	limit := min(900*time.Millisecond, plan.Till-d.clock.Now())
	for tries := 0; ; tries++ {
		claimed := d.clock.Now()
		// A new leader may be there in a moment; the wait for one stays inside
		// the time in which a refusal still lets the client come back in time.
		found := d.leader.Claim(rpc.KeyClaim{Key: plan.Key, Request: request.ID}, plan.Way.Aim/4, limit)
		switch found.Outcome {
		case rpc.Granted:
			// The claim is worth its window from when it was asked for.
			plan.Till = min(plan.Till, claimed+d.settings.Bounds.KeyWindow)
		case rpc.Held:
			var reply rpc.RecallReply
			if found.Holder == rpc.FellowID(d.settings.Name) {
				if found.Life == d.incarnation && d.operations.Freed(plan.Key, found.Request) {
					reply.Standing = rpc.Freed
					d.leader.Release(rpc.KeyClaim{Key: plan.Key, Request: found.Request})
				}
			} else {
				reply = d.leader.Recall(found, plan.Key)
			}
			if reply.Standing == rpc.Freed && tries < 3 && d.clock.Now()+limit/2 < plan.Till {
				time.Sleep(d.recallPause)
				continue
			}
			d.operations.Abandon(op)
			return d.recount(reply, request.ID)
		case rpc.Unclear:
			// The claim may stand, but nothing will ever be sent under it.
			d.operations.Free(op)
			d.leader.Release(rpc.KeyClaim{Key: plan.Key, Request: request.ID})
			return ErrorResponse(apierror.NoLeader, request.ID)
		default:
			d.operations.Abandon(op)
			return ErrorResponse(apierror.NoLeader, request.ID)
		}
		break
	}
	verdict, kind := d.carry(plan)
	switch {
	case kind == apierror.None:
		d.store(op, plan, verdict)
		return verdict
	case plan.MayHaveRun && !(kind == apierror.Broken && d.dedupes(plan.Service)):
		d.operations.Lose(op)
	default:
		d.operations.Free(op)
		d.leader.Release(rpc.KeyClaim{Key: plan.Key, Request: request.ID})
	}
	return ErrorResponse(kind, request.ID)
}

// dedupes tells that a service keeps its own record of keys, so that a run that
// broke off may be followed by another under the same key.
func (d *Daemon) dedupes(name rpc.ServiceName) bool {
	service := d.state.Snapshot().View.Services[string(name)]
	return service != nil && service.Dedupes
}

// store keeps the answer of an operation for repeats. Only the homes of a way
// may store its answers; elsewhere the answer is handed to a fellow there.
func (d *Daemon) store(op *idempotency.Held, plan *Plan, verdict Response) {
	homes := plan.Way.Homes
	switch {
	case verdict.BodyRest != nil:
		d.operations.Lose(op)
	case regionAllowed(homes, rpc.RegionName(d.settings.Region)):
		d.operations.Answer(op, verdict.Status, verdict.Headers, verdict.Body)
	default:
		go d.handOver(op, plan, verdict)
	}
}

// handOver lets a fellow within the homes of a way keep an answer.
func (d *Daemon) handOver(op *idempotency.Held, plan *Plan, verdict Response) {
	scene, absent := d.state.Snapshot(), d.state.AbsentNodes()
	var chosenInner string
	var best uint64
	for id, fellow := range scene.Nodes {
		if !fellow.Ready || fellow.Stopping || absent[id] || !regionAllowed(plan.Way.Homes, fellow.Region) {
			continue
		}
		if rank := healthcheck.Rank(string(id), plan.Key); chosenInner == "" || rank < best {
			chosenInner, best = fellow.Inner, rank
		}
	}
	answer := rpc.RecallReply{Standing: rpc.Answered, Status: verdict.Status, Header: verdict.Headers, Body: verdict.Body}
	if chosenInner == "" || !d.leader.StoreAt(chosenInner, rpc.KeepAsk{Key: plan.Key, Request: plan.Request.ID, Answer: answer}) {
		d.operations.Lose(op)
		return
	}
	d.operations.Move(op, chosenInner)
}

// recount answers a repeat from what its holder told.
func (d *Daemon) recount(reply rpc.RecallReply, request string) (verdict Response) {
	switch reply.Standing {
	case rpc.Running:
		return ErrorResponse(apierror.KeyAtWork, request)
	case rpc.Answered:
		verdict = Response{Status: reply.Status, Body: reply.Body, ContentLength: int64(len(reply.Body))}
		for _, line := range reply.Header {
			if line[0] == headerRequestID {
				line[1] = request
			}
			verdict.Headers = append(verdict.Headers, line)
		}
		return verdict
	}
	return ErrorResponse(apierror.KeyUnknown, request)
}
