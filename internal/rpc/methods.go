package rpc

// The names under which calls are sent. They are frozen: controllers and nodes of
// different versions call each other by them while a fleet is upgraded, whatever
// the Go methods behind them are called. The part before the dot is the service
// that a server registers, the one after it the exported method of its handler.
// testdata/methods.txt lists them with the messages of each.
const (
	// MethodStep, MethodJoin and MethodLeave are calls from controller to controller.
	MethodStep  = "Accord.Step"
	MethodJoin  = "Accord.Join"
	MethodLeave = "Accord.Leave"

	// These are calls from a node to the leader or, for the first, to any controller.
	MethodLeader       = "Forum.Lead"
	MethodHeartbeat    = "Forum.Beat"
	MethodClaim        = "Forum.Claim"
	MethodBind         = "Forum.Bind"
	MethodHealthReport = "Forum.Report"

	// These are calls from node to node: the retirements that the other follows, the
	// stored response of an operation at its holder or where it was moved to, and a
	// response to be stored for a node that ends.
	MethodRetirements    = "Fellow.Orders"
	MethodStoredResponse = "Fellow.Recall"
	MethodMovedResponse  = "Fellow.Kept"
	MethodStoreResponse  = "Fellow.Keep"

	// These are calls of the operator's tools to any controller or node.
	MethodStatus = "Status.Tell"
	MethodTrace  = "Status.Trace"
)
