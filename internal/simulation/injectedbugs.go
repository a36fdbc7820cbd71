package simulation

// Plant is a fault that the trial puts in on purpose, so as to show that its
// checks find it. Each is brought about in the trial, on the way between the
// real machines and what drives them; no daemon can be set to any of them.

import "slices"

// InjectedBug names a planted fault.
type InjectedBug string

// The planted faults.
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
)

// InjectedBugTexts says what each planted fault is.
var InjectedBugTexts = []struct {
	Bug  InjectedBug
	Text string
}{
	{CutTail, "what lay on disk behind a rewritten place of the log comes back"},
	{LateSnapshot, "a snapshot that comes late, or again, drops the entries behind it"},
	{SendBeforeSync, "what stands behind a write is told before the write is on disk"},
	{ForgetSync, "the disk says that it has written before it has"},
	{LoseVote, "term and vote never reach the disk"},
	{RestartVotes, "a core that lost its disk comes back under its old id, as a voter"},
	{CommitWithoutQuorum, "the leader confirms what it has only put into its own log"},
	{TwoContents, "another content under the version that holds is confirmed"},
	{ResentRefused, "an order that was taken is refused when it is sent again after another"},
	{UnknownAsRejected, "an order whose fate is open is answered as refused"},
	{TwoRuns, "a key that is held is granted to whoever asks next"},
	{SlowVoterRemoval, "a lost voter is struck out only after 8 s"},
	{ShrinkFirst, "a silent voter is struck out at once, and its place stays empty"},
	{StaleRead, "a leader answers without having been in contact with a majority"},
	{LeaseFromReceipt, "a leader's lease counts from when a round was answered, not from when it was sent"},
	{LongLease, "a leader's lease is longer than an election"},
	{WallLease, "a leader's lease is counted on the wall clock"},
	{EdgeBack, "an edge takes the word of a leader of an older term, which answers without contact"},
}

// Known tells whether there is such a fault.
func (p InjectedBug) Known() (known bool) { return slices.Contains(InjectedBugs(), p) }

// InjectedBugs lists the planted faults.
func InjectedBugs() (bugs []InjectedBug) {
	for _, known := range InjectedBugTexts {
		bugs = append(bugs, known.Bug)
	}
	return bugs
}
