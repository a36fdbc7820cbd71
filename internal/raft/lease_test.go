// The model of contact plays real agreements on a steady clock of milliseconds:
// each core has its own ticker, which a held-up core hears late and then twice
// at once, a slow disk, and links that delay, lose and are cut one way or both.
// Cores freeze, lose power, start again and hand over. At every millisecond it
// looks whether a core would answer from its state, also one that is frozen and
// has not ticked since: none may once another has won a later term. Planted
// faults prove that the check can fail.
package raft

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

type contactFault struct {
	receipt bool // the lease counts from the receipt of the answer
	long    bool // the lease is as long as an election
	forgets bool // a core that has started again votes at once
	keeps   bool // a lease is kept by who has told another to stand
}

type contactWrite struct {
	write Write
	due   int
}

type contactCore struct {
	id     ID
	up     bool
	raft   *Replica
	hard   HardState
	log    []Entry
	queue  []contactWrite
	inbox  []Message
	tick   int
	ticked bool
	held   int
	slow   int
	lease  contactLease
}

// contactLease is the span of the steady clock for which a core's leadership is proven.
type contactLease struct {
	term  Term
	until time.Duration
}

type contactMail struct {
	message Message
	due     int
}

type contactModel struct {
	luck     *rand.Rand
	fault    contactFault
	base     Snapshot
	cores    []*contactCore
	mail     []contactMail
	cut      map[[2]ID]bool
	delay    int
	now      int
	parting  *contactCore
	partAt   int
	won      Term
	answered int
	broken   string
}

func newContactModel(seed int64, cores int, fault contactFault) (m *contactModel) {
	m = &contactModel{luck: rand.New(rand.NewSource(seed)), fault: fault, cut: map[[2]ID]bool{}, delay: 3}
	for i := range cores {
		m.base.Members = append(m.base.Members, Member{ID: ID(fmt.Sprint("core-", i)), Voter: true})
	}
	m.base.Index, m.base.Term = 1, 1
	for _, member := range m.base.Members {
		core := &contactCore{id: member.ID, tick: m.luck.Intn(25)}
		m.cores = append(m.cores, core)
		m.start(core)
	}
	return m
}

func (m *contactModel) at() time.Duration { return time.Duration(m.now) * time.Millisecond }

func (m *contactModel) start(core *contactCore) {
	core.raft = New(core.id, Timing{HeartbeatTicks, ElectionTicks}, rand.New(rand.NewSource(m.luck.Int63())), core.hard, m.base, append([]Entry(nil), core.log...))
	if m.fault.forgets {
		core.raft.leaderSilentTicks, core.raft.timeoutTicks = ElectionTicks, 2
	}
	core.up, core.queue, core.inbox, core.ticked, core.held, core.slow, core.lease = true, nil, nil, false, 0, 0, contactLease{}
	core.tick = m.now + 25
}

// crash ends a core; some of what was not synced yet is lost.
func (m *contactModel) crash(core *contactCore) {
	kept := m.luck.Intn(len(core.queue) + 1)
	for _, queued := range core.queue[:kept] {
		core.keep(queued.write)
	}
	core.up, core.queue, core.lease = false, nil, contactLease{}
}

func (c *contactCore) keep(write Write) {
	if write.HardState != nil {
		c.hard = *write.HardState
	}
	if len(write.Entries) > 0 {
		c.log = append(c.log[:write.Entries[0].Index-2:write.Entries[0].Index-2], write.Entries...)
	}
}

func (m *contactModel) carry(core *contactCore, out Output) {
	for _, write := range out.Writes {
		core.queue = append(core.queue, contactWrite{write, m.now + 1 + m.luck.Intn(4) + core.slow})
	}
	for _, message := range out.Messages {
		m.post(message)
	}
	if core.raft.Role() == Leader {
		m.won = max(m.won, core.raft.Term())
	}
	core.lease = contactLease{}
	if !core.raft.CommittedInTerm() {
		return
	}
	yielded := core.raft.timeoutNowSent
	core.raft.timeoutNowSent = yielded && !m.fault.keeps
	sent, known := core.raft.LastQuorumContact()
	core.raft.timeoutNowSent = yielded
	if known {
		span := core.raft.timing.LeaseTicks()
		if m.fault.long {
			span = ElectionTicks
		}
		core.lease = contactLease{term: core.raft.Term(), until: sent + time.Duration(span)*TickInterval}
	}
}

func (m *contactModel) post(message Message) {
	if m.cut[[2]ID{message.From, message.To}] || m.luck.Intn(50) == 0 {
		return
	}
	delay := 1 + m.luck.Intn(m.delay)
	if m.luck.Intn(10) == 0 {
		delay += m.luck.Intn(40)
	}
	m.mail = append(m.mail, contactMail{message, m.now + delay})
}

func (m *contactModel) step() {
	m.now++
	if m.parting != nil && m.now >= m.partAt {
		m.cutOff(m.parting, true, true)
		m.parting = nil
	}
	var later []contactMail
	for _, mail := range m.mail {
		if mail.due > m.now {
			later = append(later, mail)
			continue
		}
		for _, core := range m.cores {
			if core.id == mail.message.To && core.up {
				core.inbox = append(core.inbox, mail.message)
			}
		}
	}
	m.mail = later
	for _, core := range m.cores {
		if core.up {
			m.run(core)
		}
	}
	for _, core := range m.cores {
		if !core.up || m.at() >= core.lease.until {
			continue
		}
		m.answered++
		if core.lease.term < m.won && m.broken == "" {
			m.broken = fmt.Sprintf("at %d ms: %s answers for term %d, term %d is won", m.now, core.id, core.lease.term, m.won)
		}
	}
}

// run gives a core what it may take now: one ticks' worth waits at most, and a
// tick that waits and messages that wait come in any order.
func (m *contactModel) run(core *contactCore) {
	if core.tick <= m.now {
		core.tick, core.ticked = core.tick+25, true
	}
	if m.now < core.held {
		return
	}
	for len(core.queue) > 0 && core.queue[0].due <= m.now {
		write := core.queue[0].write
		core.queue = core.queue[1:]
		core.keep(write)
		for _, message := range write.AfterSync {
			m.post(message)
		}
		m.carry(core, core.raft.At(m.at()).ReportSynced(1))
	}
	for core.ticked || len(core.inbox) > 0 {
		if core.ticked && (len(core.inbox) == 0 || m.luck.Intn(2) == 0) {
			core.ticked = false
			m.carry(core, core.raft.At(m.at()).Tick())
			continue
		}
		message := core.inbox[0]
		core.inbox = core.inbox[1:]
		if m.fault.receipt && message.Kind >= MsgAppendResponse && message.Round > 0 && core.raft.Role() == Leader {
			core.raft.roundSentAt[message.Round%recordedRounds] = m.at()
		}
		m.carry(core, core.raft.At(m.at()).Step(message))
	}
}

func (m *contactModel) trouble() {
	core, other := m.cores[m.luck.Intn(len(m.cores))], m.cores[m.luck.Intn(len(m.cores))]
	if leader := m.leader(); leader != nil && m.luck.Intn(2) == 0 {
		core = leader
	}
	switch m.luck.Intn(15) {
	case 0, 1:
		if core.up {
			m.crash(core)
			// It is back at once, or later: the sooner, the better its forgetting shows.
			if m.luck.Intn(2) == 0 {
				m.start(core)
			}
		}
	case 2:
		core.held = m.now + 100 + m.luck.Intn(500)
	case 3, 11, 12, 13, 14:
		// The others are held up a little, and a late tick comes right behind the
		// last round that they hear.
		held := m.now + m.luck.Intn(50)
		for _, each := range m.cores {
			if each != core {
				each.held = max(each.held, held)
			}
		}
		m.parting, m.partAt = core, held+m.luck.Intn(10)
	case 4:
		m.cutOff(core, false, true)
	case 5:
		m.cutOff(core, true, false)
	case 6:
		m.cut[[2]ID{core.id, other.id}] = true
	case 7:
		core.slow = m.luck.Intn(300)
		m.delay = 1 + m.luck.Intn(120)
	case 8:
		// All others lose power while one is cut off, and are back at once.
		m.cutOff(core, true, true)
		for _, each := range m.cores {
			if each != core && each.up {
				m.crash(each)
				m.start(each)
			}
		}
	case 9:
		if core.up && m.now >= core.held {
			m.change(core)
		}
	case 10:
		if core.up && m.now >= core.held {
			m.carry(core, core.raft.At(m.at()).TransferLeadership())
		}
	}
}

// change has a leader make a voter a learner, or a learner a voter.
func (m *contactModel) change(core *contactCore) {
	next := append([]Member(nil), core.raft.Members()...)
	at := m.luck.Intn(len(next))
	next[at].Voter = !next[at].Voter
	if voters := core.raft.voterCount(); next[at].ID == core.id || voters <= 2 && !next[at].Voter {
		return
	}
	if accepted, out := core.raft.At(m.at()).ProposeMembers(next); accepted {
		m.carry(core, out)
	}
}

// cutOff parts a core from all others, for what it hears, what it says, or both.
func (m *contactModel) cutOff(core *contactCore, hears, says bool) {
	for _, other := range m.cores {
		if other != core {
			m.cut[[2]ID{other.id, core.id}] = m.cut[[2]ID{other.id, core.id}] || hears
			m.cut[[2]ID{core.id, other.id}] = m.cut[[2]ID{core.id, other.id}] || says
		}
	}
}

func (m *contactModel) heal() {
	m.cut, m.delay, m.parting = map[[2]ID]bool{}, 3, nil
	for _, core := range m.cores {
		core.slow = 0
		if !core.up {
			m.start(core)
		}
	}
}

// leader is the core that would answer now.
func (m *contactModel) leader() (leader *contactCore) {
	for _, core := range m.cores {
		if core.up && m.at() < core.lease.until {
			return core
		}
	}
	return nil
}

// until steps till there is what is asked for, or tells that there never was.
func (m *contactModel) until(limit int, found func() bool) (took int, ok bool) {
	for took = 0; took < limit; took++ {
		if found() {
			return took, true
		}
		m.step()
	}
	return took, false
}

func playContact(seed int64, cores int, fault contactFault) (m *contactModel) {
	m = newContactModel(seed, cores, fault)
	for m.now < 20_000 && m.broken == "" {
		m.step()
		for _, core := range m.cores {
			if m.luck.Intn(400) == 0 {
				core.held = max(core.held, m.now+m.luck.Intn(60))
			}
			if !core.up && m.luck.Intn(400) == 0 {
				m.start(core)
			}
		}
		if m.luck.Intn(250) == 0 {
			m.trouble()
		}
		if m.luck.Intn(800) == 0 {
			m.heal()
		}
	}
	m.heal()
	if _, ok := m.until(5000, func() bool { return m.broken != "" || m.leader() != nil && m.leader().lease.term == m.won }); !ok {
		m.broken = "nobody answers after all is healed"
	}
	return m
}

func TestNobodyAnswersOnceAnotherHasWon(t *testing.T) {
	for _, cores := range []int{3, 4, 5} {
		answered := 0
		for seed := int64(1); seed <= 30; seed++ {
			m := playContact(seed, cores, contactFault{})
			if m.broken != "" {
				t.Errorf("%d cores, seed %d: %s", cores, seed, m.broken)
			}
			answered += m.answered
		}
		t.Logf("%d cores: somebody answered in %d of %d ms", cores, answered, 30*20_000)
		if answered < 30*20_000/4 {
			t.Errorf("%d cores: somebody answered in only %d of %d ms", cores, answered, 30*20_000)
		}
	}
}

func TestPlantedFaultsOfContactAreFound(t *testing.T) {
	for name, fault := range map[string]contactFault{"receipt": {receipt: true}, "long": {long: true}, "forgets": {forgets: true}, "keeps": {keeps: true}} {
		found := int64(0)
		for seed := int64(1); seed <= 600 && found == 0; seed++ {
			if playContact(seed, 5, fault).broken != "" {
				found = seed
			}
		}
		if found == 0 {
			t.Errorf("%s was not found by any seed", name)
		}
		t.Logf("%s: found at seed %d", name, found)
	}
}

// A calm group answers all the time, and a leader that is cut off, either way,
// stops within the lease and before another answers.
func TestALeaderThatIsCutOffStopsAnswering(t *testing.T) {
	span := int(Timing{HeartbeatTicks, ElectionTicks}.LeaseTicks() * 25)
	for name, ways := range map[string][2]bool{"both ways": {true, true}, "hears nothing": {true, false}, "says nothing": {false, true}} {
		longest, gap, gaps := 0, 0, 0
		for seed := int64(1); seed <= 200; seed++ {
			m := newContactModel(seed, 3, contactFault{})
			if _, ok := m.until(3000, func() bool { return m.leader() != nil }); !ok {
				t.Fatalf("seed %d: no leader at first", seed)
			}
			for range 200 + m.luck.Intn(200) {
				if m.step(); m.leader() == nil {
					t.Fatalf("seed %d: nobody answers in the calm, at %d ms", seed, m.now)
				}
			}
			old, cut := m.leader(), m.now
			m.cutOff(old, ways[0], ways[1])
			if _, ok := m.until(3000, func() bool { return m.at() >= old.lease.until }); !ok || m.now-cut > span {
				t.Fatalf("%s, seed %d: a leader that is cut off answers for %d ms", name, seed, m.now-cut)
			}
			longest = max(longest, m.now-cut)
			if _, ok := m.until(3000, func() bool { return m.leader() != nil && m.leader() != old }); !ok || m.broken != "" {
				t.Fatalf("%s, seed %d: no other answers in the end: %s", name, seed, m.broken)
			}
			gap, gaps = max(gap, m.now-cut), gaps+m.now-cut
		}
		t.Logf("%s: longest answer after a cut %d ms of %d; until another answers %d ms in the mean, %d at most", name, longest, span, gaps/200, gap)
	}
}

// A hand-over whose successor is gone ends in a later term, in which the leader
// has its proof again; until then it has none.
func TestAHandOverThatComesToNothing(t *testing.T) {
	m := newContactModel(5, 3, contactFault{})
	m.until(3000, func() bool { return m.leader() != nil })
	m.until(100, func() bool { return false })
	old := m.leader()
	m.carry(old, old.raft.At(m.at()).TransferLeadership())
	if !old.raft.timeoutNowSent || old.lease.until != 0 {
		t.Fatal("a leader that has told another to stand still answers")
	}
	successor, term := old.raft.transferTarget, old.raft.Term()
	for _, core := range m.cores {
		if core.id == successor {
			m.crash(core)
		}
	}
	for m.leader() == nil && m.now < 5000 {
		m.step()
	}
	if leader := m.leader(); leader == nil || leader.lease.term <= term || m.broken != "" {
		t.Fatalf("nobody answers in a later term: %s", m.broken)
	}
}

// A round is told as heard at once while the disk is slow, and no match with it.
func TestARoundIsHeardBeforeTheDisk(t *testing.T) {
	members := []Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
	base := Snapshot{Index: 1, Term: 1, Members: members}
	raft := New("b", Timing{HeartbeatTicks, ElectionTicks}, rand.New(rand.NewSource(1)), HardState{Term: 2}, base, nil)
	entry := Message{Kind: MsgAppend, From: "a", To: "b", Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{Term: 2, Index: 2}}, Round: 9}
	out := raft.Step(entry)
	if len(out.Messages) != 1 || out.Messages[0].Kind != MsgHeartbeatResponse || out.Messages[0].Round != 9 || out.Messages[0].Index != 0 {
		t.Fatalf("sent %+v", out.Messages)
	}
	// In a term that the disk does not have yet, nothing is told as heard.
	entry.Term, entry.Entries = 3, nil
	for _, message := range raft.Step(entry).Messages {
		if message.Round != 0 {
			t.Fatalf("sent %+v before the term is on disk", message)
		}
	}
}

// Contact is with the voters alone, the leader among them only if it votes.
func TestContactCountsVoters(t *testing.T) {
	members := []Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}, {ID: "l"}}
	raft := &Replica{id: "a", timing: Timing{HeartbeatTicks, ElectionTicks}, role: Leader, members: members, peers: map[ID]*progress{"b": {}, "c": {}, "l": {}}}
	for round := range 5 {
		raft.At(time.Duration(round) * time.Second).startHeartbeatRound()
	}
	for _, c := range []struct {
		b, c, l uint64
		votes   bool
		sent    time.Duration
		known   bool
	}{{0, 0, 5, true, 0, false}, {3, 0, 5, true, 2 * time.Second, true}, {3, 4, 5, true, 3 * time.Second, true}, {3, 0, 5, false, 0, false}, {3, 4, 5, false, 2 * time.Second, true}, {6, 6, 0, true, 0, false}} {
		raft.peers["b"].ackedRound, raft.peers["c"].ackedRound, raft.peers["l"].ackedRound = c.b, c.c, c.l
		members[0].Voter = c.votes
		if sent, known := raft.LastQuorumContact(); sent != c.sent || known != c.known {
			t.Errorf("%+v: %v, %v", c, sent, known)
		}
	}
}
