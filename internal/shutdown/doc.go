// Package shutdown owns how a daemon ends: the phases from the signal to the exit,
// the times that bound them, and what may still be accepted in each. It knows no
// connection and no request; a daemon is a Participant, which carries the phases
// out. docs/shutdown.md is the table of both programs.
//
// Three invariants hold for every daemon. Nothing is accepted that the daemon would
// have to give up, except what is read before others can know that it stops. No wait
// lasts longer than the phase that it belongs to. A phase ends early only when
// nothing that it waits for is left, and never by a count that could rise again.
package shutdown
