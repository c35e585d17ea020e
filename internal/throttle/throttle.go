// Package throttle bounds the share of a processor that work of low priority takes, however many goroutines have such
// work. They take turns: one of them works at a time, in the order of their requests, and all of them pause as soon as
// their common budget is used up. While they pause they are blocked. Goroutines of the Go runtime have no priorities:
// one that can always run delays all others by its time slice, and as long as any can run, the runtime looks for network
// events only every 10 ms.
//
// Package downstream throttles the responses that a node makes without an attempt on a server.
package throttle

import (
	"container/list"
	"sync"
	"time"
)

// Config sets the limits of a Throttle.
type Config struct {
	// Share is the part of one processor that the work may take in the long run.
	Share float64
	// UrgentShare is the part of one processor that the work may take in the long run while it is urgent.
	UrgentShare float64
	// Burst is the processor time that the work may take at once after a time without work.
	Burst time.Duration
	// Quantum is the processor time that the work may take between two pauses.
	Quantum time.Duration
	// MaxTurn is the time after which the next turn begins although the previous one has not ended: its goroutine may be
	// blocked.
	MaxTurn time.Duration
}

// Throttle gives turns to goroutines. It is safe for concurrent use.
type Throttle struct {
	mu        sync.Mutex
	config    Config
	budget    budget
	waiting   list.List // values are of type *Turn
	holder    *Turn     // the turn in progress; nil if there is none
	heldSince time.Time // when the turn in progress began
	timer     *time.Timer
	lifted    bool // whether Lift was called
}

// Turn is the permission of one goroutine at a time to work. The zero value is a turn that has not begun.
type Turn struct {
	element *list.Element // position in Throttle.waiting; nil if the turn does not wait
	granted chan struct{} // closed when the turn begins or is ended
	cost    int           // factor by which the time of the turn is charged
	retired bool          // whether Retire was called; the turn does not wait any more
}

// New returns a throttle with a full burst.
func New(config Config) *Throttle {
	return &Throttle{config: config, budget: newBudget(config, time.Now())}
}

// Begin waits until the turn begins. It ends the turn first if it is in progress. End, called by another goroutine, ends
// the wait early. A turn must not begin twice at the same time. The budget is charged for the time of the turn times its
// cost, which is 1 or more: it accounts for work that belongs to the turn and is done before or after it.
func (t *Throttle) Begin(turn *Turn, cost int) {
	granted := t.enqueue(turn, cost)
	if granted != nil {
		<-granted
	}
}

// enqueue adds a turn to the queue. It returns a channel that is closed when the turn begins, or nil if it has begun.
func (t *Throttle) enqueue(turn *Turn, cost int) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.endLocked(turn, now)
	if t.lifted || turn.retired {
		return nil
	}
	turn.cost = cost
	turn.granted = make(chan struct{})
	turn.element = t.waiting.PushBack(turn)
	t.advanceLocked(now)
	if turn.element == nil {
		return nil
	}
	return turn.granted
}

// End ends a turn, whether it is in progress, waits, or has not begun.
func (t *Throttle) End(turn *Turn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.holder != turn && turn.element == nil {
		return
	}
	now := time.Now()
	t.endLocked(turn, now)
	t.advanceLocked(now)
}

// Retire ends a turn like End. From then on, Begin returns at once: what the goroutine would do in its turn has become
// pointless, so that the turn must not take the place of another one.
func (t *Throttle) Retire(turn *Turn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	turn.retired = true
	t.endLocked(turn, now)
	t.advanceLocked(now)
}

// BeginUrgent makes the work urgent until EndUrgent is called: other work waits for it.
func (t *Throttle) BeginUrgent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.budget.urgent {
		now := time.Now()
		t.budget.beginUrgent(now)
		t.advanceLocked(now)
	}
}

// EndUrgent ends the effect of BeginUrgent. It has no effect if the work is not urgent.
func (t *Throttle) EndUrgent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.budget.urgent {
		t.budget.endUrgent(time.Now())
	}
}

// Lift ends the throttling: all turns that wait begin, and later ones begin at once.
func (t *Throttle) Lift() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lifted = true
	t.holder = nil
	for t.waiting.Len() > 0 {
		t.popLocked()
	}
	t.stopTimerLocked()
}

// endLocked ends a turn and charges the budget for it. The caller holds t.mu.
func (t *Throttle) endLocked(turn *Turn, now time.Time) {
	switch {
	case t.holder == turn:
		t.holder = nil
		t.budget.charge(now.Sub(t.heldSince), turn.cost, now)
	case turn.element != nil:
		t.removeLocked(turn)
	}
}

// advanceLocked begins the next turn, or sets the timer for the time at which it may begin. The caller holds t.mu.
func (t *Throttle) advanceLocked(now time.Time) {
	if t.waiting.Len() == 0 {
		return
	}
	if t.holder != nil {
		left := t.config.MaxTurn - now.Sub(t.heldSince)
		if left > 0 {
			t.setTimerLocked(left)
			return
		}
		t.endLocked(t.holder, now)
	}
	if pause := t.budget.pause(now); pause > 0 {
		t.setTimerLocked(pause)
		return
	}
	t.holder, t.heldSince = t.popLocked(), now
	if t.waiting.Len() > 0 {
		t.setTimerLocked(t.config.MaxTurn)
	}
}

// popLocked removes the first turn that waits and ends its wait. The caller holds t.mu.
func (t *Throttle) popLocked() *Turn {
	first := t.waiting.Front().Value.(*Turn)
	t.removeLocked(first)
	return first
}

// removeLocked removes a turn from the queue and ends its wait. The caller holds t.mu.
func (t *Throttle) removeLocked(turn *Turn) {
	t.waiting.Remove(turn.element)
	turn.element = nil
	close(turn.granted)
}

// setTimerLocked makes the throttle advance after d. It replaces an earlier time. The caller holds t.mu.
func (t *Throttle) setTimerLocked(d time.Duration) {
	if t.timer == nil {
		t.timer = time.AfterFunc(d, t.advance)
		return
	}
	t.timer.Reset(d)
}

// stopTimerLocked stops the timer. The caller holds t.mu.
func (t *Throttle) stopTimerLocked() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// advance is called by the timer.
func (t *Throttle) advance() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advanceLocked(time.Now())
}
