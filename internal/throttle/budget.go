package throttle

import "time"

// budget is the processor time that throttled work may use. It refills at a constant rate. Once it is used up, work
// pauses until the budget has reached its quantum, so that the processor has time for other work in one piece. It is
// not safe for concurrent use.
type budget struct {
	config    Config
	balance   time.Duration // at the time refilledAt; negative if the last turn took more than there was
	refillAt  time.Time     // time of the latest refill
	exhausted bool          // whether work pauses until the balance has reached the quantum
	urgent    bool          // whether the work has Config.UrgentShare
}

// share returns the part of one processor that the work may take now.
func (b *budget) share() float64 {
	if b.urgent {
		return b.config.UrgentShare
	}
	return b.config.Share
}

// beginUrgent gives the work Config.UrgentShare from now on.
func (b *budget) beginUrgent(now time.Time) {
	b.refill(now)
	b.urgent = true
	b.balance = max(b.balance, 0) // work of before, at the smaller share, delays no urgent work
}

// endUrgent gives the work Config.Share again.
func (b *budget) endUrgent(now time.Time) {
	b.refill(now)
	b.urgent = false
}

func newBudget(config Config, now time.Time) budget {
	return budget{config: config, balance: config.Burst, refillAt: now}
}

// refill adds the processor time since the previous refill.
func (b *budget) refill(now time.Time) {
	elapsed := max(0, now.Sub(b.refillAt))
	b.balance = min(b.config.Burst, b.balance+time.Duration(b.share()*float64(elapsed)))
	b.refillAt = now
	if b.balance >= b.config.Quantum {
		b.exhausted = false
	}
}

// charge subtracts the time that a turn has taken, but no more than MaxTurn, times its cost. Urgent work costs its time.
func (b *budget) charge(took time.Duration, cost int, now time.Time) {
	b.refill(now)
	if b.urgent {
		cost = 1
	}
	b.balance -= time.Duration(cost) * min(took, b.config.MaxTurn)
	if b.balance <= 0 {
		b.exhausted = true
	}
}

// pause returns the time until the next turn may begin, or 0 if it may begin now.
func (b *budget) pause(now time.Time) time.Duration {
	b.refill(now)
	if !b.exhausted {
		return 0
	}
	missing := b.config.Quantum - b.balance
	return max(1, time.Duration(float64(missing)/b.share()))
}
