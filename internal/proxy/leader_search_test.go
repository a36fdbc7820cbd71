package proxy

import (
	"sync"
	"testing"
	"time"

	"tinpin/internal/rpc"
)

// lateAnswers is by how many questions to another controller an answer comes late. With a question in each
// round to all controllers that is longer than a round takes.
const lateAnswers = 4

// questionCount counts the questions to a controller.
type questionCount struct {
	mu      sync.Mutex
	asked   sync.Cond
	count   int
	testEnd bool
}

func newQuestionCount(t *testing.T) (questions *questionCount) {
	t.Helper()
	questions = &questionCount{}
	questions.asked.L = &questions.mu
	t.Cleanup(func() {
		questions.mu.Lock()
		defer questions.mu.Unlock()
		questions.testEnd = true
		questions.asked.Broadcast()
	})
	return questions
}

func (q *questionCount) add() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.count++
	q.asked.Broadcast()
}

// awaitMore waits for so many questions from now on.
func (q *questionCount) awaitMore(more int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for until := q.count + more; q.count < until && !q.testEnd; {
		q.asked.Wait()
	}
}

// countingFollower answers at once that it does not lead.
type countingFollower struct{ questions *questionCount }

func (f *countingFollower) Lead(_ rpc.LeaderRequest, _ *rpc.LeaderResponse) (err error) {
	f.questions.add()
	return nil
}

// lateLeader answers who leads only after more questions to another controller.
type lateLeader struct {
	*fakeControllerService
	questions *questionCount
}

func (l *lateLeader) Lead(request rpc.LeaderRequest, reply *rpc.LeaderResponse) (err error) {
	l.questions.awaitMore(lateAnswers)
	return l.fakeControllerService.Lead(request, reply)
}

// A leader whose answers come later than those of other controllers is found in time: searches whose rounds
// ended before its answer never found it.
func TestALeaderThatAnswersLateIsFound(t *testing.T) {
	questions := newQuestionCount(t)
	leader := &fakeController{heartbeats: make(chan time.Time, 1024)}
	leader.lead(1)
	addresses := []string{
		serveRPC(t, map[string]any{"Forum": &countingFollower{questions}}),
		serveRPC(t, map[string]any{"Forum": &lateLeader{&fakeControllerService{leader}, questions}}),
	}
	d := newTestDaemon(t)
	d.leader.OnUpdate = func() {}
	for _, address := range addresses {
		d.state.AddControllers([]rpc.Controller{{InternalAddress: address}})
	}
	begun := time.Now()
	followLeader(t, d, 0)
	if took := leader.awaitFollower(t).Sub(begun); took > newLeaderBound {
		t.Errorf("the leader is followed after %s", took)
	}
}
