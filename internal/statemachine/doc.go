// Package statemachine holds the state that all controllers agree on: the
// configuration, evacuations, operator documents, retirements, the steps of the
// schedule, session bindings, claims of operation keys, and which requests of
// operators were accepted. It changes only by Apply, which carries out committed
// commands in the order of the log, so that every controller comes to the same
// state. Nothing in it depends on a clock, but for the age of a claim, which is
// kept beside the state: it counts on the steady clock of this controller from the
// moment the claim was applied here, and only the leader turns it into a command.
//
// The package owns the encoding of commands and of the state in a snapshot. It does
// not know terms or indices beyond the index that Apply is given, nor the disk.
// A State has no lock: the goroutine that applies the log owns it, and whoever else
// reads it does so under the lock of its owner.
package statemachine
