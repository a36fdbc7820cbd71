package proxy

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"tinpin/internal/rpc"
	"tinpin/internal/testutil/hanging"
)

const (
	// newLeaderBound is within which a node has to follow a new leader that stands when the old one is lost:
	// config_apply of the tightest deployment.
	newLeaderBound = 2 * time.Second
	// leaderTestLimit ends a test whose node does not get there at all.
	leaderTestLimit = 20 * time.Second
	// claimingClients claim keys all the time, more than there may be calls with claims in flight.
	claimingClients = 4 * claimCallsInFlight
	// keptHeartbeats from a node in a row show that it follows the leader.
	keptHeartbeats = 3
)

// fakeController is a controller that may lead, may stop answering, and may be gone.
type fakeController struct {
	address string
	server  *rpc.Server

	mu         sync.Mutex
	term       rpc.Term      // the term in which it leads, 0 while it does not
	stopped    chan struct{} // while it is not nil, nothing is answered until it is closed
	resume     func()        // ends what stopAnswering began; nil before
	heartbeats chan time.Time
}

// startFakeController serves a controller that does not lead yet.
func startFakeController(t *testing.T) (controller *fakeController) {
	t.Helper()
	controller = &fakeController{
		address:    fmt.Sprintf("127.0.0.1:%d", freePort(t)),
		heartbeats: make(chan time.Time, 1024),
	}
	var err error
	controller.server, err = rpc.Serve(controller.address, map[string]any{"Forum": &fakeControllerService{controller}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(controller.server.Close)
	return controller
}

// freePort gives a port that nothing listens on.
func freePort(t *testing.T) (port int) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

// lead has the controller lead in a term.
func (c *fakeController) lead(term rpc.Term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term = term
}

// status is the term in which the controller leads, once it answers at all.
func (c *fakeController) status() (term rpc.Term) {
	c.mu.Lock()
	stopped := c.stopped
	c.mu.Unlock()
	if stopped != nil {
		<-stopped
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term
}

// refuse has the controller go away: connections to it are refused.
func (c *fakeController) refuse(*testing.T) { c.server.Close() }

// hang has the controller go away without a word: connections to it do not come up.
func (c *fakeController) hang(t *testing.T) {
	t.Helper()
	c.server.Close()
	address, err := hanging.Listen(c.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(address.Close)
}

// stopAnswering has the controller accept connections and requests, and answer none.
func (c *fakeController) stopAnswering(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	stopped := make(chan struct{})
	c.stopped, c.resume = stopped, sync.OnceFunc(func() { close(stopped) })
	t.Cleanup(c.resume)
}

// fakeControllerService is what a node calls at a fake controller.
type fakeControllerService struct{ controller *fakeController }

// Lead tells whether the controller leads.
func (s *fakeControllerService) Lead(_ rpc.LeaderRequest, reply *rpc.LeaderResponse) (err error) {
	reply.Term = s.controller.status()
	reply.IsLeader = reply.Term > 0
	return nil
}

// Beat answers a heartbeat with nothing new.
func (s *fakeControllerService) Beat(_ rpc.HeartbeatRequest, update *rpc.Update) (err error) {
	update.Term = s.controller.status()
	if update.IsLeader = update.Term > 0; !update.IsLeader {
		return nil
	}
	update.Revision, update.LogIndex, update.LastItem = 1, 1, rpc.AfterAllItems
	select {
	case s.controller.heartbeats <- time.Now():
	default:
	}
	return nil
}

// Claim grants every key.
func (s *fakeControllerService) Claim(request rpc.ClaimRequest, reply *rpc.ClaimResponse) (err error) {
	if s.controller.status() == 0 {
		return nil
	}
	reply.IsLeader, reply.Released = true, true
	for range request.Claims {
		reply.Results = append(reply.Results, rpc.ClaimResult{Outcome: rpc.ClaimGranted})
	}
	return nil
}

// awaitFollower waits until a node keeps sending heartbeats to the controller, and gives when it began to.
func (c *fakeController) awaitFollower(t *testing.T) (since time.Time) {
	t.Helper()
	limit := time.After(leaderTestLimit)
	for count := range keptHeartbeats {
		select {
		case at := <-c.heartbeats:
			if count == keptHeartbeats-1 {
				since = at
			}
		case <-limit:
			t.Fatalf("the node does not follow the leader after %s", leaderTestLimit)
		}
	}
	return since
}

// claimKeys claims keys one after the other until the context ends.
func claimKeys(ctx context.Context, leader *LeaderClient, client int) {
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("%d-%d", client, number)
		leader.Claim(ctx, rpc.KeyClaim{Key: id, Request: id}, 150*time.Millisecond, claimTimeout)
	}
}

// A node whose leader is lost under many claims of keys follows the next one in time, and the one after that:
// it kept older routes for seconds while its heartbeat waited behind claims for a connection to the lost leader.
func TestALostLeaderIsReplacedInTimeUnderClaims(t *testing.T) {
	for name, lose := range map[string]func(*fakeController, *testing.T){
		"refuses":         (*fakeController).refuse,
		"hangs":           (*fakeController).hang,
		"stops answering": (*fakeController).stopAnswering,
	} {
		for _, clients := range []int{0, claimingClients} {
			t.Run(fmt.Sprintf("%s, %d clients", name, clients), func(t *testing.T) {
				t.Parallel()
				replaceLeaders(t, clients, lose)
			})
		}
	}
}

// replaceLeaders has a node follow a leader, whose loss it survives, and then that of the next one.
func replaceLeaders(t *testing.T, clients int, lose func(*fakeController, *testing.T)) {
	t.Helper()
	d := newTestDaemon(t)
	d.leader.OnUpdate = func() {}
	var controllers [3]*fakeController
	for i := range controllers {
		controllers[i] = startFakeController(t)
		d.state.AddControllers([]rpc.Controller{{InternalAddress: controllers[i].address}})
	}
	controllers[0].lead(1)
	followLeader(t, d, clients)
	controllers[0].awaitFollower(t)
	for next := 1; next < len(controllers); next++ {
		lost := time.Now()
		lose(controllers[next-1], t)
		controllers[next].lead(rpc.Term(next + 1))
		took := controllers[next].awaitFollower(t).Sub(lost)
		t.Logf("the node follows leader %d %s after the one before was lost", next+1, took)
		if took > newLeaderBound {
			t.Errorf("the node follows leader %d too late", next+1)
		}
		if resume := controllers[next-1].resume; resume != nil {
			// The one before goes on, with what it was asked, and takes itself for the leader of its term.
			resume()
			controllers[next].awaitFollower(t)
			if leader, _ := d.leader.currentLeader(); leader != controllers[next].address {
				t.Errorf("the node has gone back to leader %d", next)
			}
		}
	}
}

// followLeader has a node look for its leader, and clients claim keys there, until the test ends.
func followLeader(t *testing.T, d *Daemon, clients int) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for client := range clients {
		running.Go(func() { claimKeys(ctx, d.leader, client) })
	}
	running.Go(d.leader.RunHeartbeats)
	running.Go(d.leader.RunClaims)
	t.Cleanup(func() {
		cancel()
		close(d.leader.Done)
		running.Wait()
	})
}
