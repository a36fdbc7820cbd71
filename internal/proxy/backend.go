// Server is one life of a backend as this daemon deals with it: what the
// platform and the state cache say of it, what was seen here, and the pool of
// streams to it. What is seen here may only take a backend out for a while; it
// never brings one up against the cache.
package proxy

import (
	"math"
	"net"
	"sync"
	"syscall"
	"time"

	"tinpin/internal/quota"
	"tinpin/internal/rpc"
)

const (
	dialTimeout        = 450 * time.Millisecond
	unackedTimeout     = 800 * time.Millisecond
	minUnavailable     = 400 * time.Millisecond
	maxUnavailable     = 4 * time.Second
	minOverdue         = 150 * time.Millisecond
	loadReportLifetime = 1500 * time.Millisecond
	outcomeReportSpan  = 4 * time.Second
	failureStep        = 0.35
	failureHalfLife    = 2 * time.Second
	readBufferBytes    = 16 << 10
)

// Backend is a backend and its pool.
type Backend struct {
	rpc.Endpoint
	Region    rpc.RegionName
	lastStamp string

	mu               sync.Mutex
	health           rpc.Health
	warmUpUntil      time.Duration
	unavailableUntil time.Duration
	unavailableSpan  time.Duration
	inFlight         int
	busySince        time.Duration
	respondedAt      time.Duration
	openConns        int
	latency          float64
	latencyAt        time.Duration
	idleConns        []*Conn
	warmUpSends      *quota.Window
	closed           bool
	stats            *ServiceStats
	load             reportedLoad
	localZone        string
	ejected          bool
	nextTrialAt      time.Duration
	failureScore     float64
	failureScoreAt   time.Duration
	outcomes         rpc.OutcomeCount
	reportUntil      time.Duration
	// activeConns are the streams that carry a request now, with whether it is keyed.
	activeConns map[*Conn]bool
}

// reportedLoad is what a backend said it had to do, and what was sent to it since.
type reportedLoad struct {
	jobs      int
	sentSince int
	at        time.Duration
}

func newBackend(listed rpc.Endpoint, region rpc.RegionName, asking string, habit *ServiceStats) (server *Backend) {
	return &Backend{Endpoint: listed, Region: region, localZone: asking, warmUpSends: quota.NewWindow(time.Second), stats: habit, activeConns: map[*Conn]bool{}}
}

// Conn is one connection to a backend; it carries one request at a time.
type Conn struct {
	netConn   net.Conn
	raw       syscall.RawConn
	reader    *lineReader
	backend   *Backend
	fresh     bool
	idleSince time.Duration
	expiresAt time.Duration
}

// isQuiet tells that nothing has arrived and the other side has not closed.
func (s *Conn) isQuiet() (quiet bool) {
	if s.reader.Buffered() > 0 {
		return false
	}
	err := s.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = recvErr == syscall.EAGAIN || recvErr == syscall.EWOULDBLOCK
		return true
	})
	return quiet && err == nil
}

// takeIdle gives an idle stream that can be used, newest first, or nil. One that has
// rested longer than most is left where it is.
func (s *Backend) takeIdle(now, most time.Duration) (stream *Conn) {
	for {
		s.mu.Lock()
		last := len(s.idleConns) - 1
		if last < 0 {
			s.mu.Unlock()
			return nil
		}
		stream = s.idleConns[last]
		if now-stream.idleSince > most {
			s.mu.Unlock()
			return nil
		}
		s.idleConns = s.idleConns[:last]
		s.mu.Unlock()
		if now < stream.expiresAt && stream.isQuiet() {
			stream.fresh = false
			return stream
		}
		s.closeConn(stream)
	}
}

func (s *Backend) dial(wait time.Duration) (stream *Conn, err error) {
	if wait > dialTimeout {
		wait = dialTimeout
	}
	dialer := net.Dialer{Timeout: wait, Control: rpc.UserTimeout(unackedTimeout), KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}
	dialer.SetMultipathTCP(false)
	s.mu.Lock()
	s.openConns++
	s.mu.Unlock()
	conn, err := dialer.Dial("tcp4", s.Address)
	if err != nil {
		s.mu.Lock()
		s.openConns--
		s.mu.Unlock()
		return nil, err
	}
	// What is not read yet is held back by the backend, not on this daemon's link.
	_ = conn.(*net.TCPConn).SetReadBuffer(readBufferBytes)
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &Conn{netConn: conn, raw: raw, reader: newLineReader(conn), backend: s, fresh: true}, nil
}

func (s *Backend) closeConn(stream *Conn) {
	_ = stream.netConn.Close()
	s.mu.Lock()
	s.openConns--
	s.mu.Unlock()
}

// markActive and release bracket a stream's carrying of a request.
func (s *Backend) markActive(stream *Conn, keyed bool) {
	s.mu.Lock()
	s.activeConns[stream] = keyed
	s.mu.Unlock()
}

func (s *Backend) unmarkActive(stream *Conn) {
	s.mu.Lock()
	delete(s.activeConns, stream)
	s.mu.Unlock()
}

// closeActive closes the streams that carry requests, but those with keyed ones
// where they may go on.
func (s *Backend) closeActive(but bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for stream, keyed := range s.activeConns {
		if !keyed || !but {
			_ = stream.netConn.Close()
		}
	}
}

// putIdle puts a stream back that is fit to be used again.
func (s *Backend) putIdle(now time.Duration, stream *Conn, keep time.Duration) {
	stream.idleSince, stream.expiresAt = now, now+min(keep, s.stats.MaxIdle(now))
	s.mu.Lock()
	if s.closed || len(s.idleConns) >= 32 {
		s.mu.Unlock()
		s.closeConn(stream)
		return
	}
	s.idleConns = append(s.idleConns, stream)
	s.mu.Unlock()
}

// closeIdle closes idle streams that are past their time; the oldest lie first.
func (s *Backend) closeIdle(now time.Duration, all bool) {
	s.mu.Lock()
	var old []*Conn
	kept := s.idleConns[:0]
	for _, stream := range s.idleConns {
		if all || now >= stream.expiresAt {
			old = append(old, stream)
		} else {
			kept = append(kept, stream)
		}
	}
	s.idleConns = kept
	s.closed = s.closed || all
	s.mu.Unlock()
	for _, stream := range old {
		s.closeConn(stream)
	}
}

// attemptStarted and end bracket a round.
func (s *Backend) attemptStarted(now time.Duration) {
	s.mu.Lock()
	if s.inFlight == 0 {
		s.busySince = now
	}
	s.inFlight++
	s.load.sentSince++
	if now < s.warmUpUntil+time.Second {
		s.warmUpSends.Add(now)
	}
	s.mu.Unlock()
}

func (s *Backend) attemptEnded(now, took time.Duration, outcome Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	traits := outcomeTable[outcome]
	switch traits.health {
	case signGood:
		s.countOutcome(now, true)
	case signBad:
		s.countOutcome(now, false)
		s.failureScore = s.recentFailures(now)
		s.failureScore += (1 - s.failureScore) * failureStep
		s.failureScoreAt = now
	}
	if traits.responded {
		s.respondedAt = now
	}
	switch outcome {
	case Complete:
		s.unavailableSpan = 0
		s.observeLatency(now, float64(took)/float64(time.Millisecond))
		s.stats.ObserveLatency(now, took)
	case StaleConnection:
	case NotSent, ConnectionFailed:
		s.markUnavailable(now)
	case Rejected:
		s.observeLatency(now, s.latency*1.5+20)
	case TimedOut:
		s.observeLatency(now, float64(took)/float64(time.Millisecond))
	}
}

// countOutcome notes an outcome for the owner's sums; what is good counts only while
// there is something to tell. The caller holds the lock.
func (s *Backend) countOutcome(now time.Duration, good bool) {
	s.stats.countOutcome(good)
	if good {
		if s.ejected || now < s.reportUntil {
			s.outcomes.Succeeded++
		}
		return
	}
	s.outcomes.Failed++
	s.reportUntil = now + outcomeReportSpan
	s.stats.markReportable(s)
}

// takeOutcomes gives what is to be told of this backend, if it failed lately or is set
// aside; of a backend that is well nothing is told.
func (s *Backend) takeOutcomes(now time.Duration) (tally rpc.OutcomeCount, told bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tally = s.outcomes
	s.outcomes = rpc.OutcomeCount{}
	tally.Endpoint, tally.Service = s.ID, s.Service
	if !s.ejected && now >= s.reportUntil || s.closed {
		s.stats.clearReportable(s)
		return tally, false
	}
	return tally, tally.Succeeded+tally.Failed > 0
}

// recentFailures is how much failed here lately, 0 to 1. The caller holds the lock.
func (s *Backend) recentFailures(now time.Duration) (bad float64) {
	if s.failureScore == 0 {
		return 0
	}
	return s.failureScore * math.Exp2(-float64(now-s.failureScoreAt)/float64(failureHalfLife))
}

// overdue tells that the backend owes an answer for longer than is usual and
// has said nothing at all meanwhile; it may have gone dark. What is usual where
// it has not answered yet is given. The caller holds the lock.
func (s *Backend) overdue(now time.Duration, unknown float64) bool {
	if s.inFlight == 0 {
		return false
	}
	usual := s.latency
	if s.latencyAt == 0 {
		usual = unknown
	}
	return now-max(s.busySince, s.respondedAt) > minOverdue+time.Duration(usual*float64(time.Millisecond))
}

// suspect tells that a backend is held out here, or owes answers.
func (s *Backend) suspect(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now < s.unavailableUntil || now < s.warmUpUntil || s.overdue(now, s.stats.BaselineLatency(defaultLatencyMS))
}

// isWarmingUp tells that the backend bears little.
func (s *Backend) isWarmingUp(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now < s.warmUpUntil
}

// isDraining tells that the platform has said so.
func (s *Backend) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Draining
}

// silentSince tells that nothing was heard from the backend since a moment.
func (s *Backend) silentSince(moment time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.respondedAt < moment
}

func (s *Backend) observeLatency(now time.Duration, took float64) {
	if s.latencyAt == 0 {
		s.latency = took
	} else {
		s.latency += (took - s.latency) * 0.15
	}
	s.latencyAt = now
}

// markUnavailable takes the backend out here, longer each time.
func (s *Backend) markUnavailable(now time.Duration) {
	if s.unavailableUntil > now {
		return
	}
	if s.unavailableSpan == 0 {
		s.unavailableSpan = minUnavailable
	} else {
		s.unavailableSpan = min(s.unavailableSpan*2, maxUnavailable)
	}
	s.unavailableUntil = now + s.unavailableSpan
}

// markReplaced takes the backend out because another has its address; the list will
// tell its end.
func (s *Backend) markReplaced(now time.Duration) {
	s.mu.Lock()
	s.unavailableSpan, s.unavailableUntil = maxUnavailable, now+maxUnavailable
	s.mu.Unlock()
}

// update takes what the list and the cache say.
func (s *Backend) update(now time.Duration, listed *rpc.Endpoint, state *rpc.EndpointState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if listed != nil {
		s.Draining = listed.Draining
		s.Slots = listed.Slots
	}
	if state != nil {
		s.health = state.Health
		if s.ejected = state.EjectedFor == rpc.EjectedForAllZones || state.EjectedFor != "" && state.EjectedFor == s.localZone; s.ejected {
			s.stats.markReportable(s)
		}
		s.warmUpUntil = 0
		if state.WarmupRemaining > 0 {
			s.warmUpUntil = now + state.WarmupRemaining
		}
		if state.Health == rpc.Healthy && s.unavailableUntil > now && s.unavailableSpan > minUnavailable {
			s.unavailableUntil = now
		}
	}
}

// observeLoad notes the load that the backend tells of itself.
func (s *Backend) observeLoad(now time.Duration, text string) {
	jobs, told := parseLoad(text)
	if !told {
		return
	}
	s.mu.Lock()
	// The one that was answered is still counted in what is told.
	s.load = reportedLoad{jobs: max(0, jobs-1), at: now}
	s.mu.Unlock()
}

// queuedRequests reckons what the backend has to do: what it told lately and what was
// sent to it since, else what this daemon has there, taken for the others that
// use it as well. The caller holds the lock.
func (s *Backend) queuedRequests(now time.Duration, share int) (jobs float64, told bool) {
	own := float64(s.inFlight) * float64(share)
	age := now - s.load.at
	if s.load.at == 0 || age >= loadReportLifetime {
		return own, false
	}
	part := float64(age) / float64(loadReportLifetime)
	return max(float64(s.inFlight), float64(s.load.jobs+s.load.sentSince)*(1-part)+own*part), true
}

// startWarmUp marks the backend cold by its own word.
func (s *Backend) startWarmUp(now, left time.Duration) {
	s.mu.Lock()
	if now+left > s.warmUpUntil {
		s.warmUpUntil = now + left
	}
	s.mu.Unlock()
}
