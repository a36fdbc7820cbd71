// The simulation drives the real agreement and the real state of several cores
// under a seeded clock, network and disks: crashes, loss of power, wiped disks,
// stalls, cuts both ways and one way, lost and doubled messages, members
// coming and going. The same seed gives the same verdict. After each step it
// checks that there is one leader a term and that cores agree on what is
// committed; at the end, healed, that nothing acknowledged is lost, that each
// key was granted once, and that the group still works. Planted faults prove
// that the checks can fail.
package raft_test

import (
	"fmt"
	"hash/fnv"
	"math/rand"
	"sort"
	"testing"
	"time"

	"tinpin/internal/membership"
	"tinpin/internal/raft"
	"tinpin/internal/statemachine"
)

type planted struct {
	ackEarly   bool // the disk says synced before it is
	loseVotes  bool // the hard state never reaches the disk
	keepID     bool // a wiped core comes back under its old id, as a voter
	loneCommit bool // the leader answers what it has only proposed
}

type simDisk struct {
	raft.MemoryDisk
	queue   []simWrite
	stalled int
}

type simWrite struct {
	write raft.Write
	due   int
}

type simCore struct {
	member  raft.Member
	up      bool
	raft    *raft.Replica
	state   *statemachine.State
	disk    *simDisk
	pending map[raft.Index]simPending
	waiting map[raft.ID]raft.Member
	ticks   int
	heardAt int

	membership *membership.Policy
}

type simPending struct {
	term    raft.Term
	command statemachine.Command
}

type simMail struct {
	message raft.Message
	due     int
	to      string
}

type sim struct {
	luck    *rand.Rand
	fault   planted
	cores   map[string]*simCore
	order   []string
	mail    []simMail
	now     int
	cut     map[[2]string]bool
	leaders map[raft.Term]raft.ID
	agreed  map[raft.Index]string
	granted map[string]string
	acked   map[string]statemachine.Claim
	lives   int
	next    int
	broken  string
	leaving map[raft.ID]bool
	catchUp time.Duration
	silence int
	losses  int
	changes int
	mute    bool // nobody takes newcomers in
	thin    map[string]*thinLink
	shape   func(r *raft.Replica)
}

func newSim(seed int64, cores int, fault planted) (s *sim) {
	s = &sim{
		luck: rand.New(rand.NewSource(seed)), fault: fault, cores: map[string]*simCore{}, cut: map[[2]string]bool{},
		leaders: map[raft.Term]raft.ID{}, agreed: map[raft.Index]string{}, granted: map[string]string{}, acked: map[string]statemachine.Claim{},
		leaving: map[raft.ID]bool{}, catchUp: 4 * time.Second, losses: 1,
	}
	var founders []raft.Member
	for i := 0; i < cores; i++ {
		host := fmt.Sprintf("core-%d", i)
		s.order = append(s.order, host)
		member := raft.Member{ID: raft.ID("founder-" + host), Inner: host}
		if i < 3 {
			member.Voter = true
			founders = append(founders, member)
		}
		s.cores[host] = &simCore{member: member, disk: &simDisk{MemoryDisk: raft.MemoryDisk{ID: member.ID, Log: map[raft.Index]raft.Entry{}}}}
	}
	base := raft.Snapshot{Index: 1, Term: 1, Members: founders}
	for i, host := range s.order {
		if i < 3 {
			s.cores[host].disk.Snapshot = base
		}
		s.start(host)
	}
	return s
}

func (s *sim) fail(format string, args ...any) {
	if s.broken == "" {
		s.broken = fmt.Sprintf("at tick %d: ", s.now) + fmt.Sprintf(format, args...)
	}
}

// setCatchUp has all cores follow other settings.
func (s *sim) setCatchUp(catchUp time.Duration) {
	s.catchUp = catchUp
	for _, core := range s.cores {
		core.membership = membership.NewPolicy(s.losses, 0, catchUp)
	}
}

func (s *sim) clock() time.Duration { return time.Duration(s.now) * raft.TickInterval }

func (s *sim) start(host string) {
	core := s.cores[host]
	disk := core.disk
	var log []raft.Entry
	term := disk.Snapshot.Term
	for index := disk.Snapshot.Index + 1; ; index++ {
		entry, known := disk.Log[index]
		if !known || entry.Term < term {
			break
		}
		log, term = append(log, entry), entry.Term
	}
	core.member.ID = disk.ID
	core.raft = raft.New(disk.ID, raft.Timing{raft.HeartbeatTicks, raft.ElectionTicks}, rand.New(rand.NewSource(s.luck.Int63())), disk.HardState, disk.Snapshot, log)
	// Short, so that snapshots are needed often.
	core.raft.SetLogTail(raft.LogTail{Entries: 20, Bytes: 1 << 12})
	core.raft.SetChunkBytes(200)
	if s.shape != nil {
		s.shape(core.raft)
	}
	state, err := statemachine.Restore(disk.Snapshot.Data, s.clock())
	if err != nil {
		s.fail("thaw: %v", err)
		return
	}
	core.heardAt = core.ticks
	core.state, core.pending, core.waiting, core.up = state, map[raft.Index]simPending{}, map[raft.ID]raft.Member{}, true
	core.membership = membership.NewPolicy(s.losses, 0, s.catchUp)
	disk.stalled = 0
}

// crash ends a process; its queued writes reach the disk or not, in order.
func (s *sim) crash(host string, power bool) {
	core := s.cores[host]
	if !core.up {
		return
	}
	core.up = false
	kept := len(core.disk.queue)
	if power {
		kept = s.luck.Intn(kept + 1)
	}
	for _, queued := range core.disk.queue[:kept] {
		if !s.fault.ackEarly {
			core.disk.Carry(queued.write, s.fault.loseVotes)
		}
	}
	core.disk.queue = nil
}

func (s *sim) wipe(host string) {
	core := s.cores[host]
	s.lives++
	old := core.disk.ID
	core.disk = &simDisk{MemoryDisk: raft.MemoryDisk{ID: raft.ID(fmt.Sprintf("%s-%d", host, s.lives)), Log: map[raft.Index]raft.Entry{}}}
	if s.fault.keepID {
		core.disk.ID = old
		core.disk.Snapshot = raft.Snapshot{Index: 1, Term: 1}
		for _, founder := range s.order[:3] {
			core.disk.Snapshot.Members = append(core.disk.Snapshot.Members, raft.Member{ID: raft.ID("founder-" + founder), Inner: founder, Voter: true})
		}
	}
}

func (s *sim) carry(host string, out raft.Output) {
	core := s.cores[host]
	for _, refusal := range out.Rejected {
		if refusal.Reason != "part of another snapshot" {
			s.fail("%s refused a message of kind %d of %s: %s", host, refusal.Kind, refusal.From, refusal.Reason)
		}
	}
	for _, message := range out.Messages {
		s.post(host, message)
	}
	for _, write := range out.Writes {
		core.disk.queue = append(core.disk.queue, simWrite{write, s.now + s.luck.Intn(2)})
		if s.fault.ackEarly {
			s.finish(host, write)
		}
	}
	if out.Restore != nil {
		state, err := statemachine.Restore(out.Restore.Data, s.clock())
		if err != nil {
			s.fail("thaw: %v", err)
			return
		}
		core.state = state
	}
	for _, entry := range out.Committed {
		s.apply(host, entry)
	}
	if core.raft.Role() == raft.Leader {
		if other, known := s.leaders[core.raft.Term()]; known && other != core.raft.ID() {
			s.fail("two leaders in term %d: %s and %s", core.raft.Term(), other, core.raft.ID())
		}
		s.leaders[core.raft.Term()] = core.raft.ID()
	} else {
		core.pending = map[raft.Index]simPending{}
	}
	if core.raft.CommitIndex()-core.raft.SnapshotIndex() > 60 {
		if data, err := core.state.Snapshot(); err == nil {
			if done, compacted := core.raft.Compact(core.raft.CommitIndex(), data); done {
				s.carry(host, compacted)
			}
		}
	}
}

func (s *sim) apply(host string, entry raft.Entry) {
	core := s.cores[host]
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%d %v %s", entry.Term, entry.Members, entry.Data)
	mark := fmt.Sprint(hash.Sum64())
	if other, known := s.agreed[entry.Index]; known && other != mark {
		s.fail("cores disagree on entry %d", entry.Index)
	}
	s.agreed[entry.Index] = mark
	commands, err := statemachine.DecodeCommands(entry.Data)
	if err != nil {
		s.fail("entry %d: %v", entry.Index, err)
		return
	}
	for _, command := range commands {
		result := core.state.Apply(uint64(entry.Index), command, s.clock())
		if waiting, known := core.pending[entry.Index]; known && waiting.term == entry.Term && result.Granted {
			s.acknowledge(waiting.command)
		}
	}
	delete(core.pending, entry.Index)
}

func (s *sim) acknowledge(command statemachine.Command) {
	if other, known := s.granted[command.Key]; known && other != command.Request {
		s.fail("key %s was granted to %s and to %s", command.Key, other, command.Request)
	}
	s.granted[command.Key] = command.Request
	s.acked[command.Key] = command.Claim
}

func (s *sim) post(from string, message raft.Message) {
	if s.luck.Intn(100) < 2 {
		return
	}
	copies := 1
	if s.luck.Intn(100) < 2 {
		copies = 2
	}
	for ; copies > 0; copies-- {
		for _, host := range s.order {
			if s.cores[host].disk.ID != message.To || s.cut[[2]string{from, host}] {
				continue
			}
			if link := s.thin[host]; link != nil {
				link.put(message)
			} else {
				s.mail = append(s.mail, simMail{message, s.now + s.luck.Intn(3), host})
			}
		}
	}
}

func (s *sim) finish(host string, write raft.Write) {
	core := s.cores[host]
	for _, message := range write.AfterSync {
		s.post(host, message)
	}
	s.carry(host, core.raft.ReportSynced(1))
}

func (s *sim) step() {
	s.now++
	var later []simMail
	due := s.mail
	s.mail = nil
	for _, mail := range due {
		if mail.due > s.now {
			later = append(later, mail)
			continue
		}
		if core := s.cores[mail.to]; core.up {
			s.carry(mail.to, core.raft.Step(mail.message))
		}
	}
	s.mail = append(later, s.mail...)
	for _, host := range s.order {
		link := s.thin[host]
		if link == nil {
			continue
		}
		if message, whole := link.pass(); whole && s.cores[host].up {
			s.carry(host, s.cores[host].raft.Step(message))
		}
	}
	for _, host := range s.order {
		core := s.cores[host]
		if !core.up {
			continue
		}
		if core.disk.stalled > 0 {
			core.disk.stalled--
		} else {
			for len(core.disk.queue) > 0 && core.disk.queue[0].due <= s.now {
				write := core.disk.queue[0].write
				core.disk.queue = core.disk.queue[1:]
				core.disk.Carry(write, s.fault.loseVotes)
				if !s.fault.ackEarly {
					s.finish(host, write)
				}
			}
		}
		core.ticks++
		s.carry(host, core.raft.Tick())
		if core.ticks%5 == 0 {
			s.keepHouse(host)
		}
	}
}

func (s *sim) keepHouse(host string) {
	core := s.cores[host]
	if core.raft.Role() != raft.Leader {
		if core.raft.LeaderID() != "" {
			core.heardAt = core.ticks
		}
		if _, member := raft.FindMember(core.raft.Members(), core.disk.ID); !s.mute && (!member || core.ticks-core.heardAt > 2*raft.ElectionTicks) {
			for _, other := range s.order {
				leader := s.cores[other]
				if leader.up && leader.raft.Role() == raft.Leader && !s.cut[[2]string{host, other}] {
					leader.waiting[core.disk.ID] = raft.Member{ID: core.disk.ID, Inner: host}
				}
			}
		}
		return
	}
	if !core.raft.CommittedInTerm() {
		return
	}
	roll := s.roll(host)
	if s.silence > 0 {
		core.membership.VoterTimeout = s.silence
	}
	core.waiting = map[raft.ID]raft.Member{}
	decision := core.membership.Decide(roll)
	if decision.Change == membership.NoChange {
		return
	}
	if accepted, out := core.raft.ProposeMembers(decision.Next); accepted {
		s.changes++
		core.membership.Record(roll, decision)
		s.carry(host, out)
	}
}

func (s *sim) roll(host string) (roll membership.View) {
	core := s.cores[host]
	roll = membership.View{Self: core.disk.ID, Tick: core.ticks, Members: core.raft.Members(), CaughtUp: core.raft.CaughtUp}
	for _, member := range core.waiting {
		roll.Joining = append(roll.Joining, member)
	}
	sort.Slice(roll.Joining, func(i, j int) bool { return roll.Joining[i].ID < roll.Joining[j].ID })
	roll.Leaving = func(id raft.ID) bool { return s.leaving[id] }
	roll.SinceContact = func(id raft.ID) int { ticks, _ := core.raft.SinceHeard(id); return ticks }
	return roll
}

// claim has some client ask each core that thinks it leads.
func (s *sim) claim() {
	s.next++
	key := fmt.Sprintf("k%d", s.next/2)
	for _, host := range s.order {
		core := s.cores[host]
		if !core.up || core.raft.Role() != raft.Leader {
			continue
		}
		command := statemachine.Command{Kind: statemachine.CommandClaim, Claim: statemachine.Claim{Key: key, Request: fmt.Sprintf("r%d-%s", s.next, host), Holder: "edge", Incarnation: 1}}
		index, term, accepted, out := core.raft.Propose(statemachine.EncodeCommands([]statemachine.Command{command}))
		if accepted {
			core.pending[index] = simPending{term, command}
			if s.fault.loneCommit {
				s.acknowledge(command)
			}
			s.carry(host, out)
		}
	}
}

// settledLeader is the leader that has committed in its term, if any.
func (s *sim) settledLeader() (core *simCore) {
	for _, host := range s.order {
		if c := s.cores[host]; c.up && c.raft.CommittedInTerm() {
			if core == nil || c.raft.Term() > core.raft.Term() {
				core = c
			}
		}
	}
	return core
}

// caughtUp tells that every core is up and a member, that there are enough voters
// by a change that is committed, and that none of them is cut off from the leader
// or not heard, which is a loss like any other: so one disk may be lost.
func (s *sim) caughtUp() bool {
	leader := s.settledLeader()
	if leader == nil || leader.raft.CountVoters() < 3 || leader.raft.MembersChanging() {
		return false
	}
	for _, host := range s.order {
		core := s.cores[host]
		if !core.up {
			return false
		}
		member, known := raft.FindMember(leader.raft.Members(), core.disk.ID)
		if !known {
			return false
		}
		here := leader.member.Inner
		silence, _ := leader.raft.SinceHeard(core.disk.ID)
		if member.Voter && (s.cut[[2]string{here, host}] || s.cut[[2]string{host, here}] || silence >= raft.ElectionTicks) {
			return false
		}
	}
	return len(leader.raft.Members()) == len(s.order)
}

func (s *sim) trouble() {
	host := s.order[s.luck.Intn(len(s.order))]
	other := s.order[s.luck.Intn(len(s.order))]
	switch s.luck.Intn(9) {
	case 0:
		s.crash(host, false)
	case 1:
		s.crash(host, true)
	case 2:
		if s.caughtUp() {
			s.crash(host, true)
			s.wipe(host)
		}
	case 3:
		s.cores[host].disk.stalled = 10 + s.luck.Intn(80)
	case 4:
		s.cut[[2]string{host, other}] = true
	case 5:
		for _, far := range s.order {
			if far != host {
				s.cut[[2]string{host, far}], s.cut[[2]string{far, host}] = true, true
			}
		}
	case 6:
		if leader := s.settledLeader(); leader != nil {
			s.crash(leader.member.Inner, true)
		}
	case 7:
		for _, each := range s.order {
			s.crash(each, true)
		}
	case 8:
		// The closing fault: right after an acknowledgement one disk goes and
		// all others lose power.
		if s.caughtUp() {
			for _, each := range s.order {
				s.crash(each, true)
			}
			s.wipe(host)
		}
	}
}

func (s *sim) heal() {
	s.cut = map[[2]string]bool{}
	for _, host := range s.order {
		if !s.cores[host].up {
			s.start(host)
		}
	}
}

// play runs one seed and returns what broke.
func play(seed int64, cores int, fault planted) (broken string) {
	s := newSim(seed, cores, fault)
	for s.now < 2500 && s.broken == "" {
		s.step()
		if s.luck.Intn(3) == 0 {
			s.claim()
		}
		if s.now > 60 && s.luck.Intn(40) == 0 {
			s.trouble()
		}
		if s.luck.Intn(120) == 0 {
			s.heal()
		}
		for _, host := range s.order {
			if !s.cores[host].up && s.luck.Intn(30) == 0 {
				s.start(host)
			}
		}
	}
	s.heal()
	for end := s.now + 1200; s.now < end && s.broken == ""; {
		s.step()
	}
	if s.broken != "" {
		return s.broken
	}
	leader := s.settledLeader()
	if leader == nil {
		return "no leader after all is healed"
	}
	for _, key := range sortedKeys(s.acked) {
		if held, known := leader.state.ClaimOf(key); !known || held != s.acked[key] {
			return fmt.Sprintf("acknowledged key %s is lost or another's", key)
		}
	}
	if len(s.acked) == 0 {
		return "nothing was ever acknowledged"
	}
	if leader.raft.CountVoters() < 3 {
		return fmt.Sprintf("only %d voters after all is healed", leader.raft.CountVoters())
	}
	return ""
}

func sortedKeys[V any](table map[string]V) (keys []string) {
	for key := range table {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func TestAgreementUnderTrouble(t *testing.T) {
	for _, cores := range []int{3, 4, 5} {
		for seed := int64(1); seed <= 25; seed++ {
			if broken := play(seed, cores, planted{}); broken != "" {
				t.Errorf("%d cores, seed %d: %s", cores, seed, broken)
			}
		}
	}
}

func TestSameSeedSameVerdict(t *testing.T) {
	for seed := int64(1); seed <= 5; seed++ {
		if first, second := play(seed, 3, planted{ackEarly: true}), play(seed, 3, planted{ackEarly: true}); first != second {
			t.Fatalf("seed %d: %q, then %q", seed, first, second)
		}
	}
}

func TestPlantedFaultsAreFound(t *testing.T) {
	for name, fault := range map[string]planted{"ackEarly": {ackEarly: true}, "loseVotes": {loseVotes: true}, "keepID": {keepID: true}, "loneCommit": {loneCommit: true}} {
		found := false
		for seed := int64(1); seed <= 60 && !found; seed++ {
			found = play(seed, 3, fault) != ""
		}
		if !found {
			t.Errorf("%s was not found by any seed", name)
		}
	}
}

func TestStalledDiskDoesNotStallTheGroup(t *testing.T) {
	s := newSim(7, 3, planted{})
	for s.settledLeader() == nil {
		s.step()
	}
	leader := s.settledLeader()
	leader.disk.stalled = 1 << 30
	before := len(s.acked)
	for i := 0; i < 150; i++ {
		s.step()
		s.claim()
	}
	if len(s.acked) < before+40 {
		t.Fatalf("only %d acknowledgements while the leader's disk stalled", len(s.acked)-before)
	}
	if now := s.settledLeader(); now == leader {
		t.Fatal("the leader with the stalled disk was not relieved")
	}
}

func TestWipedFounderComesBackAsLearner(t *testing.T) {
	s := newSim(3, 3, planted{})
	for i := 0; i < 100; i++ {
		s.step()
		s.claim()
	}
	s.crash("core-1", true)
	s.wipe("core-1")
	s.start("core-1")
	if s.cores["core-1"].raft.Votes(s.cores["core-1"].disk.ID) {
		t.Fatal("a wiped core votes before it was taken in")
	}
	for i := 0; i < 300; i++ {
		s.step()
	}
	if !s.caughtUp() || s.broken != "" {
		t.Fatalf("a wiped core was not taken back in: %s", s.broken)
	}
}
