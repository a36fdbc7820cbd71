// Purse holds the retries that first attempts have earned at one node. What is
// earned lapses after an eighth of the window: so in any window, on all nodes
// together, no more is spent than was earned in it and in the eighth before,
// and no node needs leave for it.
package retry

import "time"

// purseParts is how many parts of a window what is earned is kept by; lapse is
// after how many of them it is gone.
const (
	windowSlots = 32
	budgetSlots = windowSlots / 8
)

// Budget of one service.
type Budget struct {
	earned  [budgetSlots]float64
	current int64
}

// expire drops what has lapsed.
func (p *Budget) expire(now, window time.Duration) {
	at := int64(now) * windowSlots / int64(window)
	for steps := 0; p.current < at && steps < budgetSlots; steps++ {
		p.current++
		p.earned[p.current%budgetSlots] = 0
	}
	p.current = max(p.current, at)
}

// Earn adds what a first attempt earns.
func (p *Budget) Earn(now, window time.Duration, amount float64) {
	p.expire(now, window)
	p.earned[p.current%budgetSlots] += amount
}

// Spend takes one retry, oldest earnings first, if so much is there.
func (p *Budget) Spend(now, window time.Duration) (granted bool) {
	p.expire(now, window)
	sum := 0.0
	for _, part := range p.earned {
		sum += part
	}
	// Sums of tenths fall short of whole numbers by a little.
	if sum < 1-1e-9 {
		return false
	}
	left := 1.0
	for i := int64(1); i <= budgetSlots; i++ {
		part := &p.earned[(p.current+i)%budgetSlots]
		taken := min(left, *part)
		*part -= taken
		left -= taken
	}
	return true
}
