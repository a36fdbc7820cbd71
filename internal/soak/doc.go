// Package soak runs the real programs as processes on loopback addresses, with
// stand-ins for everything around them, and plays a schedule of signals, changes
// and faults while clients go on using whatever connection is open. What the
// stand-ins saw on their sockets is accounted for by request id; a broken rule is
// told with the story of its request.
//
// A Schedule is data: it is drawn from a seed before anything starts, can be
// written to a file and played again. A System is the processes and stand-ins of
// one play. A Log holds every request, arrival and answer; rules.go checks it once
// the play is over. Times are since the start of the play.
package soak

import "github.com/zeebo/errs"

// Class marks failures of the soak itself: it could not be played.
var Class = errs.Class("soak")
