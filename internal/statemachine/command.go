package statemachine

// CommandKind tells commands apart. The numbers are stored in the log.
type CommandKind uint8

// The commands, with the fields that each uses.
const (
	// CommandConfig applies the configuration update in Body.
	CommandConfig CommandKind = iota + 1
	// CommandStartEvacuation and CommandEndEvacuation concern the zone Subject; Key
	// is the request name that the operator gave, if any.
	CommandStartEvacuation
	CommandEndEvacuation
	// CommandClaim claims the operation key of its Claim for a node,
	// CommandReleaseClaim gives just that claim up, and CommandExpireClaims ends
	// those with a sequence number up to Number.
	CommandClaim
	CommandReleaseClaim
	CommandExpireClaims
	// CommandBarrier changes nothing; it is committed to prove that the leader leads.
	CommandBarrier
	// CommandDocument sets the document of the kind Subject, or withdraws it where
	// Body is empty; Number is then the version.
	CommandDocument
	// CommandRetire announces that the backend Subject of the service Body be
	// retired, by Holder; CommandStopRetired commits its stop, CommandCancelRetire
	// cancels the retirement. Key is the request name of the operator, if any.
	CommandRetire
	CommandStopRetired
	CommandCancelRetire
	// CommandScheduleStep commits the step of the schedule in Body, as JSON.
	CommandScheduleStep
	// CommandBind binds the session Key of the service Subject to the backend
	// Request, for the idle time Number, or moves it there from the backend Holder;
	// CommandUnbind ends the binding of the session Key that has the sequence number
	// Number.
	CommandBind
	CommandUnbind
)

// Command is one change proposed to the controllers. Which fields count depends on
// its kind; all of them are encoded, by position.
type Command struct {
	Kind    CommandKind
	Body    []byte
	Subject string
	Claim
	Number uint64
}
