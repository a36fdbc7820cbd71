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
	dialWait    = 450 * time.Millisecond
	dialSilence = 800 * time.Millisecond
	outLeast    = 400 * time.Millisecond
	outMost     = 4 * time.Second
	doubtLeast  = 150 * time.Millisecond
	loadAge     = 1500 * time.Millisecond
	tallySpan   = 4 * time.Second
	badStep     = 0.35
	badHalf     = 2 * time.Second
	streamRoom  = 16 << 10
)

// Server is a backend and its pool.
type Server struct {
	rpc.Server
	Region rpc.RegionName
	told   string

	mu       sync.Mutex
	health   rpc.Health
	coldTill time.Duration
	outTill  time.Duration
	outSpan  time.Duration
	burden   int
	sentAt   time.Duration
	heardAt  time.Duration
	open     int
	pace     float64
	paceAt   time.Duration
	idle     []*Stream
	cold     *quota.Window
	closed   bool
	habit    *Habit
	load     toldLoad
	asking   string
	aside    bool
	trialAt  time.Duration
	bad      float64
	badAt    time.Duration
	tally    rpc.Tally
	badTill  time.Duration
	// active are the streams that carry a request now, with whether it is keyed.
	active map[*Stream]bool
}

// toldLoad is what a backend said it had to do, and what was sent to it since.
type toldLoad struct {
	jobs  int
	since int
	at    time.Duration
}

func newServer(listed rpc.Server, region rpc.RegionName, asking string, habit *Habit) (server *Server) {
	return &Server{Server: listed, Region: region, asking: asking, cold: quota.NewWindow(time.Second), habit: habit, active: map[*Stream]bool{}}
}

// Stream is one connection to a backend; it carries one request at a time.
type Stream struct {
	conn    net.Conn
	raw     syscall.RawConn
	in      *lineReader
	server  *Server
	fresh   bool
	restAt  time.Duration
	closeBy time.Duration
}

// quiet tells that nothing has arrived and the other side has not closed.
func (s *Stream) quiet() (quiet bool) {
	if s.in.Buffered() > 0 {
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

// take gives an idle stream that can be used, newest first, or nil. One that has
// rested longer than most is left where it is.
func (s *Server) take(now, most time.Duration) (stream *Stream) {
	for {
		s.mu.Lock()
		last := len(s.idle) - 1
		if last < 0 {
			s.mu.Unlock()
			return nil
		}
		stream = s.idle[last]
		if now-stream.restAt > most {
			s.mu.Unlock()
			return nil
		}
		s.idle = s.idle[:last]
		s.mu.Unlock()
		if now < stream.closeBy && stream.quiet() {
			stream.fresh = false
			return stream
		}
		s.drop(stream)
	}
}

func (s *Server) dial(wait time.Duration) (stream *Stream, err error) {
	if wait > dialWait {
		wait = dialWait
	}
	dialer := net.Dialer{Timeout: wait, Control: rpc.Firm(dialSilence), KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}
	dialer.SetMultipathTCP(false)
	s.mu.Lock()
	s.open++
	s.mu.Unlock()
	conn, err := dialer.Dial("tcp4", s.Address)
	if err != nil {
		s.mu.Lock()
		s.open--
		s.mu.Unlock()
		return nil, err
	}
	// What is not read yet is held back by the backend, not on this daemon's link.
	_ = conn.(*net.TCPConn).SetReadBuffer(streamRoom)
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &Stream{conn: conn, raw: raw, in: newLineReader(conn), server: s, fresh: true}, nil
}

func (s *Server) drop(stream *Stream) {
	_ = stream.conn.Close()
	s.mu.Lock()
	s.open--
	s.mu.Unlock()
}

// hold and release bracket a stream's carrying of a request.
func (s *Server) hold(stream *Stream, keyed bool) {
	s.mu.Lock()
	s.active[stream] = keyed
	s.mu.Unlock()
}

func (s *Server) release(stream *Stream) {
	s.mu.Lock()
	delete(s.active, stream)
	s.mu.Unlock()
}

// breakOff closes the streams that carry requests, but those with keyed ones
// where they may go on.
func (s *Server) breakOff(but bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for stream, keyed := range s.active {
		if !keyed || !but {
			_ = stream.conn.Close()
		}
	}
}

// give puts a stream back that is fit to be used again.
func (s *Server) give(now time.Duration, stream *Stream, keep time.Duration) {
	stream.restAt, stream.closeBy = now, now+min(keep, s.habit.Rest(now))
	s.mu.Lock()
	if s.closed || len(s.idle) >= 32 {
		s.mu.Unlock()
		s.drop(stream)
		return
	}
	s.idle = append(s.idle, stream)
	s.mu.Unlock()
}

// sweep closes idle streams that are past their time; the oldest lie first.
func (s *Server) sweep(now time.Duration, all bool) {
	s.mu.Lock()
	var old []*Stream
	kept := s.idle[:0]
	for _, stream := range s.idle {
		if all || now >= stream.closeBy {
			old = append(old, stream)
		} else {
			kept = append(kept, stream)
		}
	}
	s.idle = kept
	s.closed = s.closed || all
	s.mu.Unlock()
	for _, stream := range old {
		s.drop(stream)
	}
}

// begin and end bracket a round.
func (s *Server) begin(now time.Duration) {
	s.mu.Lock()
	if s.burden == 0 {
		s.sentAt = now
	}
	s.burden++
	s.load.since++
	if now < s.coldTill+time.Second {
		s.cold.Add(now)
	}
	s.mu.Unlock()
}

func (s *Server) end(now, took time.Duration, outcome Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.burden--
	switch outcome {
	case Complete:
		s.count(now, true)
	case ServerError, ConnectionFailed, NotSent, TimedOut:
		s.count(now, false)
		s.bad = s.badness(now)
		s.bad += (1 - s.bad) * badStep
		s.badAt = now
	}
	if outcome == Complete || outcome == Rejected || outcome == ServerError {
		s.heardAt = now
	}
	switch outcome {
	case Complete:
		s.outSpan = 0
		s.learn(now, float64(took)/float64(time.Millisecond))
		s.habit.Took(now, took)
	case StaleConnection:
	case NotSent, ConnectionFailed:
		s.out(now)
	case Rejected:
		s.learn(now, s.pace*1.5+20)
	case TimedOut:
		s.learn(now, float64(took)/float64(time.Millisecond))
	}
}

// count notes an outcome for the owner's sums; what is good counts only while
// there is something to tell. The caller holds the lock.
func (s *Server) count(now time.Duration, good bool) {
	s.habit.count(good)
	if good {
		if s.aside || now < s.badTill {
			s.tally.Good++
		}
		return
	}
	s.tally.Bad++
	s.badTill = now + tallySpan
	s.habit.watch(s)
}

// tell gives what is to be told of this backend, if it failed lately or is set
// aside; of a backend that is well nothing is told.
func (s *Server) tell(now time.Duration) (tally rpc.Tally, told bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tally = s.tally
	s.tally = rpc.Tally{}
	tally.Server, tally.Service = s.ID, s.Service
	if !s.aside && now >= s.badTill || s.closed {
		s.habit.unwatch(s)
		return tally, false
	}
	return tally, tally.Good+tally.Bad > 0
}

// badness is how much failed here lately, 0 to 1. The caller holds the lock.
func (s *Server) badness(now time.Duration) (bad float64) {
	if s.bad == 0 {
		return 0
	}
	return s.bad * math.Exp2(-float64(now-s.badAt)/float64(badHalf))
}

// doubted tells that the backend owes an answer for longer than is usual and
// has said nothing at all meanwhile; it may have gone dark. What is usual where
// it has not answered yet is given. The caller holds the lock.
func (s *Server) doubted(now time.Duration, unknown float64) bool {
	if s.burden == 0 {
		return false
	}
	usual := s.pace
	if s.paceAt == 0 {
		usual = unknown
	}
	return now-max(s.sentAt, s.heardAt) > doubtLeast+time.Duration(usual*float64(time.Millisecond))
}

// doubtful tells that a backend is held out here, or owes answers.
func (s *Server) doubtful(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now < s.outTill || now < s.coldTill || s.doubted(now, s.habit.Calm(defaultLatencyMS))
}

// isCold tells that the backend bears little.
func (s *Server) isCold(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now < s.coldTill
}

// leaving tells that the platform has said so.
func (s *Server) leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Draining
}

// silentSince tells that nothing was heard from the backend since a moment.
func (s *Server) silentSince(moment time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heardAt < moment
}

func (s *Server) learn(now time.Duration, took float64) {
	if s.paceAt == 0 {
		s.pace = took
	} else {
		s.pace += (took - s.pace) * 0.15
	}
	s.paceAt = now
}

// out takes the backend out here, longer each time.
func (s *Server) out(now time.Duration) {
	if s.outTill > now {
		return
	}
	if s.outSpan == 0 {
		s.outSpan = outLeast
	} else {
		s.outSpan = min(s.outSpan*2, outMost)
	}
	s.outTill = now + s.outSpan
}

// moved takes the backend out because another has its address; the list will
// tell its end.
func (s *Server) moved(now time.Duration) {
	s.mu.Lock()
	s.outSpan, s.outTill = outMost, now+outMost
	s.mu.Unlock()
}

// note takes what the list and the cache say.
func (s *Server) note(now time.Duration, listed *rpc.Server, state *rpc.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if listed != nil {
		s.Draining = listed.Draining
		s.Slots = listed.Slots
	}
	if state != nil {
		s.health = state.Health
		if s.aside = state.Aside == rpc.AsideForAll || state.Aside != "" && state.Aside == s.asking; s.aside {
			s.habit.watch(s)
		}
		s.coldTill = 0
		if state.Cold > 0 {
			s.coldTill = now + state.Cold
		}
		if state.Health == rpc.Up && s.outTill > now && s.outSpan > outLeast {
			s.outTill = now
		}
	}
}

// hear notes the load that the backend tells of itself.
func (s *Server) hear(now time.Duration, text string) {
	jobs, told := loadOf(text)
	if !told {
		return
	}
	s.mu.Lock()
	// The one that was answered is still counted in what is told.
	s.load = toldLoad{jobs: max(0, jobs-1), at: now}
	s.mu.Unlock()
}

// jobs reckons what the backend has to do: what it told lately and what was
// sent to it since, else what this daemon has there, taken for the others that
// use it as well. The caller holds the lock.
func (s *Server) jobs(now time.Duration, share int) (jobs float64, told bool) {
	own := float64(s.burden) * float64(share)
	age := now - s.load.at
	if s.load.at == 0 || age >= loadAge {
		return own, false
	}
	part := float64(age) / float64(loadAge)
	return max(float64(s.burden), float64(s.load.jobs+s.load.since)*(1-part)+own*part), true
}

// chill marks the backend cold by its own word.
func (s *Server) chill(now, left time.Duration) {
	s.mu.Lock()
	if now+left > s.coldTill {
		s.coldTill = now + left
	}
	s.mu.Unlock()
}
