package settings

import (
	"errors"
	"strings"
)

// ErrNoFile is returned by Load for an empty path.
var ErrNoFile = errors.New("settings: TINPIN_CONFIG names no settings file")

// ErrNotObject is returned by Parse for JSON that is no object.
var ErrNotObject = errors.New("settings: the file must hold one object")

// ReadError tells that the file could not be read.
type ReadError struct {
	Path string
	Err  error
}

// Error gives the cause, which names the path.
func (e *ReadError) Error() string { return "settings: " + e.Err.Error() }

// Unwrap gives the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// SyntaxError tells that the file is not JSON.
type SyntaxError struct{ Err error }

// Error gives the cause.
func (e *SyntaxError) Error() string { return "settings: the file is not JSON: " + e.Err.Error() }

// Unwrap gives the cause.
func (e *SyntaxError) Unwrap() error { return e.Err }

// FieldError is what is wrong with one field.
type FieldError struct{ Field, Reason string }

// InvalidError lists every field at fault, in order of their names.
type InvalidError struct{ Fields []FieldError }

// Error is one line that names every field at fault.
func (e *InvalidError) Error() string {
	reasons := make([]string, len(e.Fields))
	for i, field := range e.Fields {
		reasons[i] = field.Field + " " + field.Reason
	}
	return "settings: " + strings.Join(reasons, "; ")
}
