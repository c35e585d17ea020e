package memorybudget

import (
	"context"
	"sync"
)

// Lease holds the reservations for the data of one request: they are released when its last holder has released the
// lease. The handler of the request, the event loop and each attempt are holders, since each of them may be the last
// one that uses the data. Whatever else refers to the request, for example a stopped timer, does not keep the data in
// memory, because the last holder also drops the references to the data: see DropOnRelease. A nil Lease has no limit. It
// is safe for concurrent use.
type Lease struct {
	mu           sync.Mutex
	holders      int
	reservations []reservation
	drop         func() // drops the references to the data; nil if DropOnRelease was not called
}

// reservation is a number of bytes of a budget.
type reservation struct {
	budget *Budget
	bytes  int
}

// NewLease returns a lease without reservations. The caller is its holder.
func NewLease() *Lease { return &Lease{holders: 1} }

// Reserve adds a reservation, as Budget.Reserve does. The caller is a holder.
func (l *Lease) Reserve(ctx context.Context, budget *Budget, bytes int) error {
	if l == nil || budget == nil || bytes == 0 {
		return nil
	}
	if err := budget.Reserve(ctx, bytes); err != nil {
		return err
	}
	l.add(reservation{budget, bytes})
	return nil
}

// TryReserve adds a reservation, as Budget.TryReserve does. The caller is a holder.
func (l *Lease) TryReserve(budget *Budget, bytes int) bool {
	if l == nil || budget == nil || bytes == 0 {
		return true
	}
	if !budget.TryReserve(bytes) {
		return false
	}
	l.add(reservation{budget, bytes})
	return true
}

func (l *Lease) add(r reservation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reservations = append(l.reservations, r)
}

// DropOnRelease sets the function that drops all references to the data of the request. The last holder calls it before
// it releases the reservations. Only holders may use the data.
func (l *Lease) DropOnRelease(drop func()) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop = drop
}

// Hold adds a holder. The caller is a holder itself.
func (l *Lease) Hold() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holders++
}

// Release removes a holder. With the last one it drops the data and releases all reservations.
func (l *Lease) Release() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holders--
	if l.holders > 0 {
		return
	}
	if l.drop != nil {
		l.drop()
	}
	for _, r := range l.reservations {
		r.budget.Release(r.bytes)
	}
	l.reservations = nil
}
