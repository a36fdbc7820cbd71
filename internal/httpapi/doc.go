// Package httpapi answers tinpin's own HTTP interfaces over the generated server
// of package oas: the operator's calls, the directory and the readiness check. A
// controller or node gives it handlers for what it answers; all other calls are
// answered as not found. Every error becomes a response through the one table of
// apierror. What the calls do is decided by the handlers.
//
// Handlers are called from a goroutine of each request's own.
package httpapi
