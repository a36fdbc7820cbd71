package proxy

import (
	"context"
	"math/rand"
	"time"

	"tinpin/internal/rpc"
)

const (
	// leaderQueryPause lies between two questions to one controller, and as much again at random.
	leaderQueryPause = 40 * time.Millisecond
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

// leaderSearch asks controllers who leads until one does. Each is asked in its own time: one that answers
// late, or not at all, delays no question to another. It belongs to one goroutine, which calls end.
type leaderSearch struct {
	client *LeaderClient
	// after is a term: only the leader of a later one is followed.
	after rpc.Term
	// queries are the questions to each controller, by its address; answers brings theirs.
	queries map[string]*leaderQuery
	answers chan leaderAnswer
	// ctx is the lifetime of all questions; end is its cancel function.
	ctx context.Context
	end context.CancelFunc
}

// leaderQuery is what one controller is asked.
type leaderQuery struct {
	inFlight bool
	timeout  LeaderQueryTimeout
}

// leaderAnswer is one controller's answer to the question who leads.
type leaderAnswer struct {
	address  string
	response rpc.LeaderResponse
	err      error
}

// newSearch begins a search for the leader of a later term than given.
func (l *LeaderClient) newSearch(after rpc.Term) (search *leaderSearch) {
	search = &leaderSearch{
		client: l, after: after, queries: map[string]*leaderQuery{}, answers: make(chan leaderAnswer),
	}
	search.ctx, search.end = context.WithCancel(context.Background())
	return search
}

// step asks all controllers but one that have answered what they were asked before, and takes answers until
// the next questions are due. It reports whether a leader was found and its update applied. The question is
// a small one: the update that a new leader owes may take a thin link longer than a question.
func (s *leaderSearch) step(except string) (found bool) {
	for _, address := range s.client.candidates() {
		if address != except {
			s.ask(address)
		}
	}
	due := time.NewTimer(leaderQueryPause + time.Duration(rand.Int63n(int64(leaderQueryPause))))
	defer due.Stop()
	for {
		select {
		case answer := <-s.answers:
			if s.leads(answer) && s.client.followLeader(answer.address) {
				return true
			}
		case <-due.C:
			return false
		}
	}
}

// ask sends a controller the question unless it has not answered the one before.
func (s *leaderSearch) ask(address string) {
	query := s.queries[address]
	if query == nil {
		query = &leaderQuery{}
		s.queries[address] = query
	}
	if query.inFlight {
		return
	}
	query.inFlight = true
	timeout := query.timeout.Duration()
	go func() {
		answer := leaderAnswer{address: address}
		answer.err = s.client.clients.of(address, contactCalls).CallContext(
			s.ctx, rpc.MethodLeader, rpc.LeaderRequest{}, &answer.response, timeout,
		)
		select {
		case s.answers <- answer:
		case <-s.ctx.Done():
		}
	}()
}

// leads takes up an answer and reports whether it is that of the leader that is looked for.
func (s *leaderSearch) leads(answer leaderAnswer) (leads bool) {
	query := s.queries[answer.address]
	query.inFlight = false
	if answer.err != nil {
		query.timeout.NoAnswer()
		return false
	}
	query.timeout.Answered()
	state := s.client.state
	state.AddControllers(answer.response.Controllers)
	return answer.response.IsLeader && answer.response.Term > s.after && answer.response.Term >= state.Known().Term
}

// followLeader asks a new leader for its first update and reports whether it was applied.
func (l *LeaderClient) followLeader(address string) (applied bool) {
	update, err := l.heartbeat(context.Background(), address, 0, firstUpdateTimeout)
	return err == nil && update.IsLeader
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
	search := l.newSearch(term)
	defer search.end()
	for l.clock.Now()-startedAt < leaderSearchLimit && time.Duration(l.lastHeard.Load()) <= startedAt {
		if search.step(old) {
			l.clients.closeController(old)
			return
		}
	}
}
