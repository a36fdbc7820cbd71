package proxy

import (
	"context"
	"errors"
	"time"

	"tinpin/internal/await"
	"tinpin/internal/rpc"
)

const (
	// claimCallTimeout is how long one claim may wait for its answer; the call that
	// carries a batch may take twice as long.
	claimCallTimeout   = 260 * time.Millisecond
	claimQueueLength   = 1024
	claimCallsInFlight = 16
	maxClaimBatch      = 128
	// claimRetryPause lies before the second attempt; it doubles with each.
	claimRetryPause = 25 * time.Millisecond

	maxReleaseBatch    = 128
	maxPendingReleases = 8192
	releaseRetryPause  = 250 * time.Millisecond
	releaseCallTimeout = time.Second
	// releaseCheckInterval is how often a node that stops looks whether all keys are given back.
	releaseCheckInterval = 20 * time.Millisecond
)

// Claim asks the leader for a key, again where an attempt had no clear outcome: to claim
// twice for one request is the same as once. It waits for a leader no longer than
// leaderWait, for a clear outcome no longer than limit, and for both no longer than its context.
func (l *LeaderClient) Claim(
	ctx context.Context, claim rpc.KeyClaim, leaderWait, limit time.Duration,
) (result rpc.ClaimResult) {
	startedAt := l.clock.Now()
	unknown := false
	for wait := claimRetryPause; ; wait *= 2 {
		result = l.claimOnce(ctx, claim, min(claimCallTimeout, limit-(l.clock.Now()-startedAt)))
		switch result.Outcome {
		case rpc.ClaimGranted, rpc.ClaimHeld:
			return result
		case rpc.ClaimUnknown:
			unknown = true
		}
		go l.searchForLeader()
		elapsed := l.clock.Now() - startedAt
		if elapsed+wait > limit || !unknown && elapsed+wait > leaderWait {
			break
		}
		if !await.Delay(ctx, wait) {
			break
		}
	}
	if unknown {
		result.Outcome = rpc.ClaimUnknown
	}
	return result
}

// claimOnce claims once, in a call that others may share.
func (l *LeaderClient) claimOnce(
	ctx context.Context, claim rpc.KeyClaim, limit time.Duration,
) (result rpc.ClaimResult) {
	if ctx.Err() != nil || limit <= 0 || !l.HasLeader() {
		return rpc.ClaimResult{Outcome: rpc.ClaimRejected}
	}
	result, queued, answered := l.claims.Call(ctx, claim, limit)
	switch {
	case !queued:
		result.Outcome = rpc.ClaimRejected
	case !answered:
		result.Outcome = rpc.ClaimUnknown
	}
	return result
}

// Bind asks where a session is bound, again where there was no clear outcome: to ask
// twice is the same as once. It waits no longer than leaderWait for a leader, and no longer than its
// context.
func (l *LeaderClient) Bind(
	ctx context.Context, binding rpc.SessionBinding, leaderWait, limit time.Duration,
) (result rpc.BindResult) {
	startedAt := l.clock.Now()
	for wait := claimRetryPause; ; wait *= 2 {
		if timeout := min(claimCallTimeout, limit-(l.clock.Now()-startedAt)); timeout > 0 && l.HasLeader() {
			result, _, _ = l.binds.Call(ctx, binding, timeout)
		}
		if result.Outcome != rpc.BindUnknown {
			return result
		}
		go l.searchForLeader()
		if l.clock.Now()-startedAt+wait > min(leaderWait, limit) || !await.Delay(ctx, wait) {
			return result
		}
	}
}

// RunClaims sends claims until Done is closed.
func (l *LeaderClient) RunClaims() { l.claims.Run(l.Done) }

// RunBinds sends questions for bindings until Done is closed.
func (l *LeaderClient) RunBinds() { l.binds.Run(l.Done) }

// sendClaims sends one batch. Claims that no leader has received are rejected, the
// outcome of the others is unknown.
func (l *LeaderClient) sendClaims(claims []rpc.KeyClaim, left time.Duration) (results []rpc.ClaimResult) {
	request := rpc.ClaimRequest{
		Holder: rpc.NodeID(l.settings.Name), Incarnation: l.incarnation, Claims: claims, TimeLeft: left,
	}
	var response rpc.ClaimResponse
	err := l.callLeader(rpc.MethodClaim, request, &response, 2*claimCallTimeout)
	if err == nil && response.IsLeader {
		return response.Results
	}
	results = make([]rpc.ClaimResult, len(claims))
	if err == nil || errors.Is(err, rpc.ErrNotSent) {
		for i := range results {
			results[i].Outcome = rpc.ClaimRejected
		}
	}
	return results
}

// sendBinds sends one batch of questions for bindings; nil where there is no answer.
func (l *LeaderClient) sendBinds(binds []rpc.SessionBinding, _ time.Duration) (results []rpc.BindResult) {
	var response rpc.BindResponse
	request := rpc.BindRequest{Bindings: binds}
	err := l.callLeader(rpc.MethodBind, request, &response, 2*claimCallTimeout)
	if err != nil {
		return nil
	}
	if response.Term > 0 && response.Term < l.state.Known().Term {
		// An older leader's answer came late; a newer one may have bound it anew. A
		// controller of an earlier build names no term.
		return nil
	}
	return response.Results
}

// Release gives a key back; the leader is told until it acknowledges. Beyond
// maxPendingReleases it is dropped.
func (l *LeaderClient) Release(claim rpc.KeyClaim) {
	l.mu.Lock()
	if len(l.pendingReleases) < maxPendingReleases {
		l.pendingReleases[claim] = true
	}
	l.mu.Unlock()
	select {
	case l.wakeReleases <- struct{}{}:
	default:
	}
}

// RunReleases gives keys back until Done is closed, in one call at a time: more of them
// would bury a leader that is only slow.
func (l *LeaderClient) RunReleases() {
	for {
		select {
		case <-l.wakeReleases:
		case <-l.Done:
			return
		}
		for !l.isDone() {
			releases := l.nextReleases()
			if len(releases) == 0 {
				break
			}
			if !l.sendReleases(releases) {
				time.Sleep(releaseRetryPause)
			}
		}
	}
}

// nextReleases gives one batch of the keys to give back.
func (l *LeaderClient) nextReleases() (releases []rpc.KeyClaim) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for claim := range l.pendingReleases {
		if releases = append(releases, claim); len(releases) == maxReleaseBatch {
			break
		}
	}
	return releases
}

// sendReleases gives a batch of keys back and reports whether the leader acknowledged.
func (l *LeaderClient) sendReleases(releases []rpc.KeyClaim) (acknowledged bool) {
	request := rpc.ClaimRequest{Holder: rpc.NodeID(l.settings.Name), Incarnation: l.incarnation, Releases: releases}
	var response rpc.ClaimResponse
	err := l.callLeader(rpc.MethodClaim, request, &response, releaseCallTimeout)
	if err != nil || !response.IsLeader || !response.Released {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, claim := range releases {
		delete(l.pendingReleases, claim)
	}
	return true
}

// AwaitReleases waits until the leader has acknowledged all keys that were given back, or the context ends.
func (l *LeaderClient) AwaitReleases(ctx context.Context) {
	for len(l.nextReleases()) > 0 && await.Delay(ctx, releaseCheckInterval) {
	}
}
