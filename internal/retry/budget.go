package retry

import "time"

// What is earned is kept by slots, of which windowSlots make a window; it expires
// after budgetSlots of them, an eighth of the window.
const (
	windowSlots = 32
	budgetSlots = windowSlots / 8
)

// Budget holds the retries that first attempts at one service have earned at one
// node. What is earned expires after an eighth of the window: so in any window,
// on all nodes together, no more is spent than was earned in it and in the
// eighth before, and no node needs to ask another.
type Budget struct {
	earned  [budgetSlots]float64 // ring of slots
	current int64                // number of the newest slot since the clock's start
}

// expire empties the slots that are too old.
func (b *Budget) expire(now, window time.Duration) {
	at := int64(now) * windowSlots / int64(window)
	for steps := 0; b.current < at && steps < budgetSlots; steps++ {
		b.current++
		b.earned[b.current%budgetSlots] = 0
	}
	b.current = max(b.current, at)
}

// Earn adds what a first attempt earns.
func (b *Budget) Earn(now, window time.Duration, amount float64) {
	b.expire(now, window)
	b.earned[b.current%budgetSlots] += amount
}

// Spend takes one retry off the budget, oldest slot first, if it holds as much.
func (b *Budget) Spend(now, window time.Duration) (allowed bool) {
	b.expire(now, window)
	sum := 0.0
	for _, slot := range b.earned {
		sum += slot
	}
	if sum < 1-roundingSlack {
		return false
	}
	left := 1.0
	for i := int64(1); i <= budgetSlots; i++ {
		slot := &b.earned[(b.current+i)%budgetSlots]
		taken := min(left, *slot)
		*slot -= taken
		left -= taken
	}
	return true
}
