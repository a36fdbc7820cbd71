// Package adminclient sends an operator's requests to the controllers for the
// command line: it tries each control address in turn, follows redirects to the
// leader, and prints what was answered. Every call it makes may be repeated: the
// same request twice changes nothing. It keeps no state between requests; a
// Client may be used by one goroutine at a time.
package adminclient
