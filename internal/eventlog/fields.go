package eventlog

// The field names that several kinds of log lines share. A value means the same
// thing under the same name on every line.
const (
	KeyNode        = "node"        // name of a proxy node
	KeyIncarnation = "incarnation" // drawn anew at each start of a node
	KeyMember      = "member"      // identity of a controller
	KeyMembers     = "members"     // how many belong to the list after the change
	KeyZone        = "zone"
	KeyService     = "service"
	KeyEndpoint    = "endpoint" // identity of a backend
	KeySession     = "session"
	KeyTerm        = "term"     // of the leader
	KeyRevision    = "revision" // of the leader's changes, ascending within a term
	KeyVersion     = "version"  // of the program or of the shard map
	KeyIndex       = "index"    // in the replicated log
	KeyBytes       = "bytes"
	KeyKind        = "kind" // what sort of thing Name names, or of message
	KeyName        = "name"
	KeyChange      = "change"
	KeyState       = "state" // how the thing stands after the change
	KeyCall        = "call"  // the request that was made
	KeyFrom        = "from"
	KeyTo          = "to"
	KeyStatus      = "status" // HTTP status of the response
	KeyCount       = "count"  // since the daemon's start
	KeyError       = "error"  // text of an error
	KeyReason      = "reason" // why something was decided
)
