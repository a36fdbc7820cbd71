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
	if request.Ahead && !way.Repeat.Repeatable() {
		// The way has changed since the door looked.
		return nil, apierror.NoRoom, 0
	}
	tenant := scene.View.Tenant(request.Host)
	if tenant != nil {
		if admitted, wait := d.limits.Admit(now, tenant); !admitted {
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
	request.Stream = way.Repeat == config.Download
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
	d.budget.Earn(now, plan.Service)
	return plan, apierror.None, 0
}

// Answer plans a request and carries the plan out.
func (d *Daemon) Answer(request *Request, deadline string) (verdict Verdict) {
	plan, kind, back := d.plan(request, deadline)
	if kind != apierror.None {
		return DenyFor(kind, request.ID, back)
	}
	if plan.Key != "" {
		return d.carryKeyed(plan)
	}
	verdict, kind = d.carry(plan)
	if kind != apierror.None {
		return Deny(kind, request.ID)
	}
	return verdict
}

// carry goes through the rounds of a plan, once the throttle lets it.
func (d *Daemon) carry(plan *Plan) (verdict Verdict, kind apierror.Kind) {
	if plan.Session != "" {
		if kind = d.bind(plan); kind != apierror.None {
			return verdict, plan.refusal(kind)
		}
	}
	throttle := d.throttles.of(string(plan.Service))
	for !throttle.Enter(plan.Way.Priority) {
		if !d.mayWait(plan) {
			return verdict, plan.refusal(apierror.NoRoom)
		}
		time.Sleep(roomPause)
	}
	defer throttle.Leave()
	return d.rounds(plan, throttle)
}

// mayWait tells whether a request may look for room once more, so that a
// refusal still lets the client come back in time.
func (d *Daemon) mayWait(plan *Plan) bool {
	return d.clock.Now()+roomPause < min(plan.Started+plan.Way.Aim/5, plan.Till)
}

// rounds sends a plan's request until there is an answer or a problem. Where a
// backend told of its own failure and no other gave an answer, its word is it.
func (d *Daemon) rounds(plan *Plan, throttle *Throttle) (verdict Verdict, kind apierror.Kind) {
	verdict, kind = d.search(plan, throttle)
	if kind != apierror.None && plan.Failure != nil {
		return *plan.Failure, apierror.None
	}
	return verdict, kind
}

func (d *Daemon) search(plan *Plan, throttle *Throttle) (verdict Verdict, kind apierror.Kind) {
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
			d.budget.Learn(ended, plan.Service, round.Outcome == Whole && (plan.Way.Aim <= 0 || ended-now <= plan.Way.Aim))
		}
		if round.Outcome == Whole {
			throttle.Learn(d.clock.Now()-now, plan.Way.Aim)
		}
		step, problemKind := plan.Learn(d.clock.Now(), answering.ID, round)
		if round.Outcome == Failed {
			if round.Verdict.Rest != nil {
				return round.Verdict, apierror.None
			}
			plan.Failure = &round.Verdict
		}
		switch step {
		case TryAgain:
			if plan.Bound != "" {
				// The same backend is asked again; it gets a moment.
				time.Sleep(roomPause)
			}
		case GiveAnswer:
			return round.Verdict, apierror.None
		case GiveProblem:
			return verdict, problemKind
		}
	}
}

// retry tells whether a plan may be sent once more, to a backend that answers
// as the service usually does now.
func (d *Daemon) retry(now time.Duration, plan *Plan, server *Server) (granted bool) {
	usual := time.Duration(server.habit.Usual() * float64(time.Millisecond))
	return d.budget.Retry(now, now+usual, plan.Till, plan.Service)
}

// finished is a round that has ended, and with whom.
type finished struct {
	round  Round
	server *Server
}

// round sends to one backend. Where the request may be repeated and the
// backend says nothing for a good part of the aim, neither to this request nor
// to any other, a second one is asked beside it and the first whole answer is
// taken; what comes later is let go.
func (d *Daemon) round(plan *Plan, server *Server, chosen time.Duration, arrived *int) (round Round, answering *Server) {
	wait := max(time.Duration(float64(plan.Way.Aim)*hedgePart), time.Duration(hedgeTimes*server.habit.Usual())*time.Millisecond)
	if !plan.Way.Repeat.Repeatable() || plan.Rounds < 2 || wait <= 0 || plan.Bound != "" {
		round = run(d.clock, server, plan.Request, d.sending(plan, chosen))
		if round.Sent {
			*arrived++
		}
		return round, server
	}
	ends := make(chan finished, 2)
	start := func(with *Server, chosen time.Duration) {
		go func() {
			ends <- finished{run(d.clock, with, plan.Request, d.sending(plan, chosen)), with}
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
			if end.round.Outcome == Whole || running == 0 {
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
func (d *Daemon) sending(plan *Plan, chosen time.Duration) (sending Sending) {
	sending = Sending{Chosen: chosen, Till: plan.Till, Rest: restFull, Keyed: plan.Key != "", Lane: d.lane, May: d.may, Lapse: d.lapse}
	if plan.Bound != "" {
		sending.May = func(server *Server) bool {
			return !server.leaving() && d.leased(server) && d.state.Policies.KeepsSessions(d.clock.Now(), server.ID, plan.Service)
		}
	}
	if !plan.Way.Repeat.Repeatable() {
		sending.Rest = d.settings.MaxIdleNonIdempotent
	}
	if plan.Bound != "" && plan.asked(plan.Bound) && !d.lapse.has(SameStream) {
		// The backend has had this id before: what it may say to that a second
		// time must not be taken for what it says now.
		sending.Rest = restNone
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
func (d *Daemon) may(server *Server) bool {
	return !server.leaving() && d.leased(server) && d.state.Policies.AcceptsNew(d.clock.Now(), server.ID)
}

// leased tells that a lease stands for a backend that is cold.
func (d *Daemon) leased(server *Server) bool {
	return !server.isCold(d.clock.Now()) || d.state.Leased(rpc.ColdRate, string(server.ID)) > 0
}

// letGo takes an answer that is not needed any more.
func letGo(ends <-chan finished) {
	if end := <-ends; end.round.Verdict.Finish != nil {
		end.round.Verdict.Finish(false)
	}
}

// carryKeyed claims the key first.
func (d *Daemon) carryKeyed(plan *Plan) (verdict Verdict) {
	request := plan.Request
	if d.operations.Freed(plan.Key, request.ID) {
		// The word that gave this claim back may still be under way, and would
		// give back a new one of the same name.
		return Deny(apierror.KeyUnknown, request.ID)
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
			return Deny(apierror.NoLeader, request.ID)
		default:
			d.operations.Abandon(op)
			return Deny(apierror.NoLeader, request.ID)
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
	return Deny(kind, request.ID)
}

// dedupes tells that a service keeps its own record of keys, so that a run that
// broke off may be followed by another under the same key.
func (d *Daemon) dedupes(name rpc.ServiceName) bool {
	service := d.state.Snapshot().View.Services[string(name)]
	return service != nil && service.Dedupes
}

// store keeps the answer of an operation for repeats. Only the homes of a way
// may store its answers; elsewhere the answer is handed to a fellow there.
func (d *Daemon) store(op *idempotency.Held, plan *Plan, verdict Verdict) {
	homes := plan.Way.Homes
	switch {
	case verdict.Rest != nil:
		d.operations.Lose(op)
	case config.AllowsRegion(homes, d.settings.Region):
		d.operations.Answer(op, verdict.Status, verdict.Lines, verdict.Body)
	default:
		go d.handOver(op, plan, verdict)
	}
}

// handOver lets a fellow within the homes of a way keep an answer.
func (d *Daemon) handOver(op *idempotency.Held, plan *Plan, verdict Verdict) {
	scene, absent := d.state.Snapshot(), d.state.AbsentNodes()
	var chosenInner string
	var best uint64
	for id, fellow := range scene.Nodes {
		if !fellow.Ready || fellow.Stopping || absent[id] || !config.AllowsRegion(plan.Way.Homes, string(fellow.Region)) {
			continue
		}
		if rank := healthcheck.Rank(string(id), plan.Key); chosenInner == "" || rank < best {
			chosenInner, best = fellow.Inner, rank
		}
	}
	answer := rpc.RecallReply{Standing: rpc.Answered, Status: verdict.Status, Header: verdict.Lines, Body: verdict.Body}
	if chosenInner == "" || !d.leader.StoreAt(chosenInner, rpc.KeepAsk{Key: plan.Key, Request: plan.Request.ID, Answer: answer}) {
		d.operations.Lose(op)
		return
	}
	d.operations.Move(op, chosenInner)
}

// recount answers a repeat from what its holder told.
func (d *Daemon) recount(reply rpc.RecallReply, request string) (verdict Verdict) {
	switch reply.Standing {
	case rpc.Running:
		return Deny(apierror.KeyAtWork, request)
	case rpc.Answered:
		verdict = Verdict{Status: reply.Status, Body: reply.Body, Length: int64(len(reply.Body))}
		for _, line := range reply.Header {
			if line[0] == headRequest {
				line[1] = request
			}
			verdict.Lines = append(verdict.Lines, line)
		}
		return verdict
	}
	return Deny(apierror.KeyUnknown, request)
}
