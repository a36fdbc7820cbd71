package proxy

import (
	"context"
	"time"

	"tinpin/internal/apierror"
	"tinpin/internal/await"
	"tinpin/internal/config"
	"tinpin/internal/healthcheck"
	"tinpin/internal/idempotency"
	"tinpin/internal/message"
	"tinpin/internal/rpc"
)

const (
	// claimTimeout is how long a request may wait for the claim of its key.
	claimTimeout = 900 * time.Millisecond
	// maxClaimRetries is how often a key is claimed again that its holder has released.
	maxClaimRetries = 3
)

// executeKeyed claims the key of a plan's operation before the request leaves, and stores the
// response for repeats.
func (d *Daemon) executeKeyed(ctx context.Context, plan *Plan) message.Response {
	request := plan.Request
	if d.operations.Released(plan.Key, request.ID) {
		// The release of the earlier claim may still be on its way to the leader; it would release a
		// new claim of the same key and request too.
		return message.ErrorResponse(apierror.KeyOutcomeUnknown, request.ID)
	}
	operation, earlier := d.operations.Begin(plan.Key, request.ID)
	if earlier != nil {
		return d.replay(d.leader.Fetch(ctx, earlier.Response(), plan.Key, earlier.Request()), request.ID)
	}
	if response, granted := d.claim(ctx, plan, operation); !granted {
		return response
	}
	response, kind := d.execute(ctx, plan)
	switch {
	case kind == apierror.None:
		d.storeResponse(operation, plan, response)
		return response
	case plan.MayHaveRun && !(kind == apierror.BackendFailed && d.deduplicates(plan.Service)):
		d.operations.SetLost(operation)
	default:
		d.releaseKey(plan, operation)
	}
	return message.ErrorResponse(kind, request.ID)
}

// claim claims the key of a plan. Where it is not granted, the response is what the client gets.
func (d *Daemon) claim(
	ctx context.Context, plan *Plan, operation *idempotency.HeldOperation,
) (response message.Response, granted bool) {
	request := plan.Request
	limit := min(claimTimeout, plan.Deadline-d.clock.Now())
	for retries := 0; ; retries++ {
		claimedAt := d.clock.Now()
		// A new leader may be there in a moment; the wait for one stays inside the time in which a
		// rejection still lets the client retry in time.
		asked := rpc.KeyClaim{Key: plan.Key, Request: request.ID}
		claim := d.leader.Claim(ctx, asked, plan.Route.LatencyTarget/4, limit)
		switch claim.Outcome {
		case rpc.ClaimGranted:
			// The claim is valid for its window from when it was requested.
			plan.Deadline = min(plan.Deadline, claimedAt+d.settings.Bounds.KeyWindow)
			return response, true
		case rpc.ClaimHeld:
			reply := d.recallFromHolder(ctx, plan.Key, claim)
			released := reply.State == rpc.OperationReleased
			if released && retries < maxClaimRetries && d.clock.Now()+limit/2 < plan.Deadline {
				if await.Delay(ctx, d.recallPause) {
					continue
				}
			}
			d.operations.Abandon(operation)
			return d.replay(reply, request.ID), false
		case rpc.ClaimUnknown:
			// The leader may have granted the claim, but nothing will ever be sent under it.
			d.releaseKey(plan, operation)
		default:
			d.operations.Abandon(operation)
		}
		return message.ErrorResponse(apierror.NoLeader, request.ID), false
	}
}

// recallFromHolder asks the holder of a key, which may be this node, for the state of the operation.
func (d *Daemon) recallFromHolder(
	ctx context.Context, key string, claim rpc.ClaimResult,
) (reply rpc.StoredResponse) {
	if claim.Holder != rpc.NodeID(d.settings.Name) {
		return d.leader.Recall(ctx, claim, key)
	}
	if claim.Incarnation == d.incarnation && d.operations.Released(key, claim.Request) {
		reply.State = rpc.OperationReleased
		d.leader.Release(rpc.KeyClaim{Key: key, Request: claim.Request})
	}
	return reply
}

// releaseKey releases the claim of a plan's key, because the request has not run.
func (d *Daemon) releaseKey(plan *Plan, operation *idempotency.HeldOperation) {
	d.operations.Release(operation)
	d.leader.Release(rpc.KeyClaim{Key: plan.Key, Request: plan.Request.ID})
}

// deduplicates tells that a service keeps its own record of keys, so that a run that broke off
// may be followed by another under the same key.
func (d *Daemon) deduplicates(name rpc.ServiceName) bool {
	service := d.state.Snapshot().View.Services[string(name)]
	return service != nil && service.SelfDeduplicates
}

// storeResponse keeps the response of an operation for repeats. Only the allowed regions of a
// route may store its responses; elsewhere a node there stores it.
func (d *Daemon) storeResponse(operation *idempotency.HeldOperation, plan *Plan, response message.Response) {
	regions := plan.Route.AllowedRegions
	switch {
	case response.BodyRest != nil:
		d.operations.SetLost(operation)
	case config.AllowsRegion(regions, d.settings.Region):
		d.operations.Complete(operation, response.Status, response.Headers, response.Body)
	default:
		d.storing.Go(func() { d.storeOnPeer(operation, plan, response) })
	}
}

// storeOnPeer has a node within the allowed regions of a route store a response.
func (d *Daemon) storeOnPeer(operation *idempotency.HeldOperation, plan *Plan, response message.Response) {
	snapshot, absent := d.state.Snapshot(), d.state.AbsentNodes()
	var address string
	var bestRank uint64
	for id, node := range snapshot.Nodes {
		if !node.Ready || node.Stopping || absent[id] ||
			!config.AllowsRegion(plan.Route.AllowedRegions, string(node.Region)) {
			continue
		}
		if rank := healthcheck.Rank(string(id), plan.Key); address == "" || rank < bestRank {
			address, bestRank = node.InternalAddress, rank
		}
	}
	store := rpc.StoreRequest{Key: plan.Key, Request: plan.Request.ID, Response: rpc.StoredResponse{
		State: rpc.OperationCompleted, Status: response.Status, Headers: response.Headers, Body: response.Body,
	}}
	if address == "" || !d.leader.StoreAt(address, store) {
		d.operations.SetLost(operation)
		return
	}
	d.operations.SetMoved(operation, address)
}

// replay answers a repeated request with the state of the operation at its holder.
func (d *Daemon) replay(reply rpc.StoredResponse, requestID string) (response message.Response) {
	switch reply.State {
	case rpc.OperationRunning:
		return message.ErrorResponse(apierror.KeyInUse, requestID)
	case rpc.OperationCompleted:
		response = message.Response{Status: reply.Status, Body: reply.Body, ContentLength: int64(len(reply.Body))}
		for _, field := range reply.Headers {
			if field[0] == message.HeaderRequestID {
				field[1] = requestID
			}
			response.Headers = append(response.Headers, field)
		}
		return response
	}
	return message.ErrorResponse(apierror.KeyOutcomeUnknown, requestID)
}
