package statemachine

import (
	"errors"

	"tinpin/internal/dedup"
)

// Errors of commands that were rejected.
var (
	ErrTooManySessions = errors.New("there are too many sessions")
	ErrStepOutOfOrder  = errors.New("the step does not follow what is agreed")
)

// Result is what applying a command gave.
type Result struct {
	// Err is why the command was rejected, nil where it was not. A rejected command
	// changed nothing.
	Err     error
	Granted bool
	// Held is the claim that holds the key, where it was not granted.
	Held    Claim
	Binding Binding
	// Moved tells that a binding went to another backend.
	Moved bool
}

// Conflict tells whether the command was rejected because another request was
// accepted under the same version or name.
func (r Result) Conflict() (conflict bool) { return dedup.ErrConflict.Has(r.Err) }

func rejected(err error) (result Result) { return Result{Err: err} }

func granted() (result Result) { return Result{Granted: true} }
