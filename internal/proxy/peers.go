package proxy

import (
	"context"
	"time"

	"tinpin/internal/rpc"
)

const (
	recallTimeout = 600 * time.Millisecond
	storeTimeout  = time.Second
	reportTimeout = 500 * time.Millisecond
)

// Recall asks the holder of a key for the operation's state or response.
func (l *LeaderClient) Recall(
	ctx context.Context, claim rpc.ClaimResult, key string,
) (response rpc.StoredResponse) {
	if claim.InternalAddress == "" {
		return response
	}
	request := rpc.StoredResponseRequest{Key: key, Request: claim.Request, Incarnation: claim.Incarnation}
	err := l.clients.of(claim.InternalAddress, peerCalls).CallContext(
		ctx, rpc.MethodStoredResponse, request, &response, recallTimeout)
	if err != nil {
		return rpc.StoredResponse{State: rpc.OperationLost}
	}
	return l.Fetch(ctx, response, key, claim.Request)
}

// Fetch gets a response that was moved from the node that stores it.
func (l *LeaderClient) Fetch(
	ctx context.Context, response rpc.StoredResponse, key, requestID string,
) (fetched rpc.StoredResponse) {
	if response.State != rpc.OperationMoved {
		return response
	}
	request := rpc.StoredResponseRequest{Key: key, Request: requestID}
	err := l.clients.of(response.InternalAddress, peerCalls).CallContext(
		ctx, rpc.MethodMovedResponse, request, &fetched, recallTimeout)
	if err != nil {
		return rpc.StoredResponse{State: rpc.OperationLost}
	}
	return fetched
}

// StoreAt hands a response to a node in a region that may store it.
func (l *LeaderClient) StoreAt(address string, request rpc.StoreRequest) (stored bool) {
	var response rpc.StoreAcknowledgement
	err := l.clients.of(address, peerCalls).Call(rpc.MethodStoreResponse, request, &response, storeTimeout)
	return err == nil && response.Stored
}

// Report sends what this node found out about a service that it owns.
func (l *LeaderClient) Report(report rpc.HealthReport) (accepted bool) {
	if !l.HasLeader() {
		return false
	}
	var response rpc.HealthReportResponse
	err := l.callLeader(rpc.MethodHealthReport, report, &response, reportTimeout)
	return err == nil && response.IsLeader && response.Accepted
}
