package controller

import (
	"tinpin/internal/apierror"
	"tinpin/internal/dedup"
	"tinpin/internal/eventlog"
	"tinpin/internal/httpapi"
	"tinpin/internal/statemachine"
)

// changeAcknowledged is the change that history notes where an operator's
// request was acknowledged.
const changeAcknowledged = "acknowledged"

var (
	errNoLeader  = &httpapi.Error{Kind: apierror.OutcomeUnknown, Text: "no leader is settled now"}
	errNoContact = &httpapi.Error{
		Kind: apierror.OutcomeUnknown, Text: "no contact with a majority of the controllers now",
	}
	// errListIncomplete is that of a new leader, which is no reason to reject.
	errListIncomplete = &httpapi.Error{Kind: apierror.OutcomeUnknown, Text: "the platform's list is not read yet"}
)

// invalidRequest is the answer to a request that fails a check.
func invalidRequest(err error) (answer *httpapi.Error) {
	if dedup.ErrConflict.Has(err) {
		return &httpapi.Error{Kind: apierror.VersionConflict, Text: err.Error()}
	}
	return &httpapi.Error{Kind: apierror.RequestRejected, Text: err.Error()}
}

// rejectedResult is the answer to a request that was rejected where it was
// applied; kind is that of rejections other than conflicts.
func rejectedResult(kind apierror.Kind, result statemachine.Result) (answer *httpapi.Error) {
	if result.Conflict() {
		kind = apierror.VersionConflict
	}
	return &httpapi.Error{Kind: kind, Text: result.Err.Error()}
}

// reject logs a rejection with the text that the caller gets.
func (c *Controller) reject(subject string, answer *httpapi.Error) (err error) {
	c.log.Emit(eventlog.OperatorRequestRejected, eventlog.KeyKind, subject,
		eventlog.KeyStatus, answer.Kind.Response().Status, eventlog.KeyReason, answer.Error())
	return answer
}

// acknowledge logs and notes what became of a proposed request on a document or
// a backend; err is that of the proposal.
func (c *Controller) acknowledge(subject, name, change string, result statemachine.Result, err error) error {
	if err != nil {
		return err
	}
	if result.Err != nil {
		return c.reject(subject, rejectedResult(apierror.RequestRejected, result))
	}
	c.log.Emit(eventlog.OperatorRequestAccepted, eventlog.KeyKind, subject, eventlog.KeyName, name,
		eventlog.KeyChange, change)
	c.node.History.Record(subject, name, changeAcknowledged, "", 0, true)
	return nil
}
