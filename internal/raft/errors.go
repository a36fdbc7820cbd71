package raft

import "github.com/zeebo/errs"

// Class marks the errors of the agreement.
var Class = errs.Class("accord")
