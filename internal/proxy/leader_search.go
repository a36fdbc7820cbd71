package proxy

import (
	"context"
	"math/rand"
	"time"

	"tinpin/internal/rpc"
)

const (
	// leaderSearchPause lies between two rounds of questions, and as much again at random.
	leaderSearchPause = 40 * time.Millisecond
	// leaderSearchLimit bounds a search beside a heartbeat.
	leaderSearchLimit = 2 * time.Second
)

// candidates lists the controllers that may lead: the seeds first.
func (l *LeaderClient) candidates() (addresses []string) {
	seen := map[string]bool{"": true}
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, seed := range *l.seeds.Load() {
		add(l.settings.SeedInternalAddress(seed))
	}
	for _, address := range l.state.ControllerAddresses() {
		add(address)
	}
	return addresses
}

// findLeader asks all controllers but one at once who leads, until one leads in a later
// term than given or they have all answered or timed out, and reports whether the
// leader's update was applied. The question is a small one: the update that a new leader
// owes may take a thin link longer than a controller that is gone may be waited for.
func (l *LeaderClient) findLeader(except string, after rpc.Term) (found bool) {
	leader, answered := l.askForLeader(except, after)
	if leader != "" {
		update, err := l.heartbeat(context.Background(), leader, 0, firstUpdateTimeout)
		if err == nil && update.IsLeader {
			return true
		}
	}
	if answered == 0 {
		l.mu.Lock()
		l.queryTimeout.NoAnswer()
		l.mu.Unlock()
	}
	time.Sleep(leaderSearchPause + time.Duration(rand.Int63n(int64(leaderSearchPause))))
	return false
}

// askForLeader asks all controllers but one who leads and gives the first that does, if
// any, and how many answered until then.
func (l *LeaderClient) askForLeader(except string, after rpc.Term) (leader string, answered int) {
	l.mu.Lock()
	timeout := l.queryTimeout.Duration()
	l.mu.Unlock()
	asked := 0
	// The channel has room for all answers, so that none that is not waited for blocks.
	answers := make(chan leaderAnswer, len(l.candidates())+1)
	for _, address := range l.candidates() {
		if address == except || asked == cap(answers) {
			continue
		}
		asked++
		go func() {
			var response rpc.LeaderResponse
			err := l.clients.of(address, contactCalls).Call(rpc.MethodLeader, rpc.LeaderRequest{}, &response, timeout)
			answers <- leaderAnswer{address, response, err}
		}()
	}
	for ; asked > 0 && leader == ""; asked-- {
		answer := <-answers
		if answer.err != nil {
			continue
		}
		answered++
		l.state.AddControllers(answer.response.Controllers)
		if answer.response.IsLeader && answer.response.Term > after && answer.response.Term >= l.state.Known().Term {
			leader = answer.address
		}
	}
	return leader, answered
}

// leaderAnswer is one controller's answer to the question who leads.
type leaderAnswer struct {
	address  string
	response rpc.LeaderResponse
	err      error
}

// searchForLeader looks for a new leader beside the heartbeat, which may be held open by
// one that is gone without a word. It ends when the old one is heard again; one
// search runs at a time.
func (l *LeaderClient) searchForLeader() {
	if !l.searching.CompareAndSwap(false, true) {
		return
	}
	defer l.searching.Store(false)
	old := *l.leader.Load()
	startedAt := l.clock.Now()
	term := l.state.Known().Term
	for l.clock.Now()-startedAt < leaderSearchLimit && time.Duration(l.lastHeard.Load()) <= startedAt {
		if l.findLeader(old, term) {
			l.clients.closeController(old)
			return
		}
	}
}
