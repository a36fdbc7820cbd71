// Habit is what a daemon knows of a service as a whole: how long its answers
// take when it is calm, and how long a stream to it may rest before its backends have
// been seen to forget it. A backend that forgets says nothing; whatever goes
// out next on the stream is reset. So streams are retired before that age, and
// the age is tried longer again once nothing was forgotten for a while.
package proxy

import (
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	restFull   = time.Minute
	restLeast  = 40 * time.Millisecond
	restPart   = 0.6
	restSpan   = 6 * time.Second
	habitShare = 0.05
	// calmGrows is the part by which the calm time may grow in a second.
	calmGrows  = 0.02
	calmSpread = 1.25
	habitFirst = 20
)

// Habit of one service.
type Habit struct {
	good, bad uint32
	mu        sync.Mutex
	// telling are the backends of which there may be something to tell.
	telling map[*Server]bool
	usual   float64
	calm    float64
	seen    int
	calmAt  time.Duration
	rest    time.Duration
	till    time.Duration
}

// count notes an outcome.
func (h *Habit) count(good bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if good {
		h.good++
	} else {
		h.bad++
	}
}

// watch notes that there may be something to tell of a backend.
func (h *Habit) watch(server *Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.telling == nil {
		h.telling = map[*Server]bool{}
	}
	h.telling[server] = true
}

// watched lists them.
func (h *Habit) watched() (servers []*Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for server := range h.telling {
		servers = append(servers, server)
	}
	return servers
}

// unwatch forgets one that has nothing to tell any more.
func (h *Habit) unwatch(server *Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.telling, server)
}

// tell gives the sums since it was last asked.
func (h *Habit) tell() (good, bad uint32) {
	h.mu.Lock()
	defer h.mu.Unlock()
	good, bad = h.good, h.bad
	h.good, h.bad = 0, 0
	return good, bad
}

// Took learns from one whole answer.
func (h *Habit) Took(now, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	spent := float64(took) / float64(time.Millisecond)
	if h.usual == 0 {
		h.usual, h.calm, h.calmAt = spent, spent, now
		return
	}
	if h.seen++; h.seen < habitFirst {
		h.usual += (spent - h.usual) / float64(h.seen+1)
		h.calm, h.calmAt = h.usual, now
		return
	}
	h.usual += (spent - h.usual) * habitShare
	h.calm = min(h.usual, h.calm*(1+calmGrows*(now-h.calmAt).Seconds()))
	h.calmAt = now
}

// Calm is how many milliseconds an answer took on average while the service
// was least pressed lately, where nothing is known yet the given. It is what
// may be expected of a backend that was not asked for a while.
func (h *Habit) Calm(unknown float64) (calm float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.seen < habitFirst {
		return unknown
	}
	// The least of many means is too little by about the spread of a mean.
	return min(h.usual, h.calm*calmSpread)
}

// Usual is how many milliseconds an answer takes now.
func (h *Habit) Usual() (usual float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.usual
}

// Forgot learns that a stream that had rested so long was forgotten.
func (h *Habit) Forgot(now, rested time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	rest := max(restLeast, time.Duration(float64(rested)*restPart))
	if now >= h.till || rest < h.rest {
		h.rest = rest
	}
	h.till = now + restSpan
}

// Rest is how long a stream may rest now.
func (h *Habit) Rest(now time.Duration) (rest time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.rest == 0 || now >= h.till {
		return restFull
	}
	return h.rest
}

// loadOf reads what a backend tells of its load: the requests that run, those
// that wait, and its slots. What does not parse, or is negative or absurd, is
// no word at all.
func loadOf(text string) (jobs int, told bool) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return 0, false
	}
	for i, part := range parts {
		number, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || number < 0 || number > 1<<20 {
			return 0, false
		}
		if i < 2 {
			jobs += number
		}
	}
	return jobs, true
}
