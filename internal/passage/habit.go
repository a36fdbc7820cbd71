// Habit is what a daemon knows of a service as a whole: how long its answers
// usually take, and how long a stream to it may rest before its backends have
// been seen to forget it. A backend that forgets says nothing; whatever goes
// out next on the stream is reset. So streams are retired before that age, and
// the age is tried longer again once nothing was forgotten for a while.
package passage

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
)

// Habit of one service.
type Habit struct {
	mu    sync.Mutex
	usual float64
	rest  time.Duration
	till  time.Duration
}

// Took learns from one whole answer.
func (h *Habit) Took(took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	spent := float64(took) / float64(time.Millisecond)
	if h.usual == 0 {
		h.usual = spent
		return
	}
	h.usual += (spent - h.usual) * habitShare
}

// Usual is how many milliseconds an answer takes, where nothing is known yet
// the given.
func (h *Habit) Usual(unknown float64) (usual float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.usual == 0 {
		return unknown
	}
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
