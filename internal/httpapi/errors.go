package httpapi

import (
	"context"
	"errors"
	"net/http"

	"github.com/ogen-go/ogen/ogenerrors"

	"tinpin/api/oas"
	"tinpin/internal/apierror"
)

// Error is a failed call with what the caller is sent.
type Error struct {
	Kind apierror.Kind
	// Text stands in place of the kind's own.
	Text string
	// Location is where to send the call instead, for apierror.NotLeader.
	Location string
}

func (e *Error) Error() string {
	if e.Text != "" {
		return e.Text
	}
	return e.Kind.Response().Text
}

// errNotServed is that of a call which this program has no handler for.
var errNotServed = &Error{Kind: apierror.NoRoute, Text: "this daemon does not answer that"}

// asError classifies any error of a handler or of the generated server. Of one
// it does not know, nobody can say whether the call took effect.
func asError(err error) (failed *Error) {
	if errors.As(err, &failed) {
		return failed
	}
	kind := apierror.OutcomeUnknown
	var decodeError ogenerrors.Error
	if errors.As(err, &decodeError) {
		kind = apierror.BadRequest
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		kind = apierror.BodyTooLarge
	}
	return &Error{Kind: kind, Text: err.Error()}
}

// NewError makes the response to a failed call.
func (a api) NewError(_ context.Context, err error) (response *oas.OtherStatusCodeWithHeaders) {
	failed := asError(err)
	row := failed.Kind.Response()
	response = &oas.OtherStatusCodeWithHeaders{
		StatusCode: row.Status, Response: oas.Problem{ErrorMessage: failed.Error()},
	}
	if failed.Location != "" {
		response.Location = oas.NewOptString(failed.Location)
	}
	if row.RetryAfterMS > 0 {
		response.RetryAfter = oas.NewOptString(row.RetryAfter())
	}
	return response
}
