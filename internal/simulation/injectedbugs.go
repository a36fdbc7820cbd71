package simulation

// An injected bug is put in on purpose to show that the checks find it. Each one sits in the
// simulation, between the real state machines and what drives them; no daemon can be set to
// any of them. The names are in kept case files and stay as they are.

import "slices"

// InjectedBug names a bug that can be injected.
type InjectedBug string

// The bugs that can be injected.
const (
	CutTail             InjectedBug = "cutTail"
	LateSnapshot        InjectedBug = "lateSnapshot"
	SendBeforeSync      InjectedBug = "earlyTell"
	ForgetSync          InjectedBug = "forgetSync"
	LoseVote            InjectedBug = "loseVote"
	RestartVotes        InjectedBug = "restartVotes"
	CommitWithoutQuorum InjectedBug = "loneCommit"
	TwoContents         InjectedBug = "twoContents"
	ResentRefused       InjectedBug = "resentRefused"
	UnknownAsRejected   InjectedBug = "unclearNo"
	TwoRuns             InjectedBug = "twoRuns"
	SlowVoterRemoval    InjectedBug = "slowStrike"
	ShrinkFirst         InjectedBug = "shrinkFirst"
	StaleRead           InjectedBug = "staleRead"
	LeaseFromReceipt    InjectedBug = "leaseFromReceipt"
	LongLease           InjectedBug = "longLease"
	WallLease           InjectedBug = "wallLease"
	EdgeBack            InjectedBug = "edgeBack"
	LearnerNeverRaised  InjectedBug = "learnerNeverRaised"
)

// InjectedBugTexts says what each bug is.
var InjectedBugTexts = []struct {
	Bug  InjectedBug
	Text string
}{
	{CutTail, "entries on disk behind a rewritten index of the log come back"},
	{LateSnapshot, "a snapshot that comes late, or again, drops the entries behind it"},
	{SendBeforeSync, "messages that wait for a write are sent before the write is on disk"},
	{ForgetSync, "the disk says that it has written before it has"},
	{LoseVote, "term and vote never reach the disk"},
	{RestartVotes, "a controller that lost its disk comes back under its old id, as a voter"},
	{CommitWithoutQuorum, "the leader confirms what it has only put into its own log"},
	{TwoContents, "another content under the version that holds is confirmed"},
	{ResentRefused, "a request that was accepted is refused when it is sent again after another"},
	{UnknownAsRejected, "a request whose outcome is unknown is answered as refused"},
	{TwoRuns, "a claimed key is granted to whoever asks next"},
	{SlowVoterRemoval, "a lost voter is removed only after 8 s"},
	{ShrinkFirst, "a silent voter is removed at once, and not replaced"},
	{StaleRead, "a leader answers without having been in contact with a majority"},
	{LeaseFromReceipt, "a leader's lease counts from when a heartbeat was answered, not from when it was sent"},
	{LongLease, "a leader's lease is longer than an election"},
	{WallLease, "a leader's lease is counted on the wall clock"},
	{EdgeBack, "an edge takes updates of a leader of an older term, which answers without contact"},
	{LearnerNeverRaised, "a learner is promoted only at an instant at which it holds all that is committed"},
}

// Known tells whether there is such a bug.
func (p InjectedBug) Known() (known bool) { return slices.Contains(InjectedBugs(), p) }

// InjectedBugs lists the bugs.
func InjectedBugs() (bugs []InjectedBug) {
	for _, known := range InjectedBugTexts {
		bugs = append(bugs, known.Bug)
	}
	return bugs
}
