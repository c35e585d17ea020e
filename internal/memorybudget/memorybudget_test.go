package memorybudget

import (
	"context"
	"errors"
	"testing"
)

// requireFree fails the test unless exactly the given number of bytes of a budget is free.
func requireFree(t *testing.T, budget *Budget, bytes int) {
	t.Helper()
	if budget.TryReserve(bytes + 1) {
		t.Fatalf("free bytes: got more than %d, want %d", bytes, bytes)
	}
	if !budget.TryReserve(bytes) {
		t.Fatalf("free bytes: got fewer than %d, want %d", bytes, bytes)
	}
	budget.Release(bytes)
}

// Guards against a reservation that is released while one of its holders still refers to the data, and against one that
// is never released.
func TestLeaseReleasesItsReservationsWithItsLastHolder(t *testing.T) {
	budget, lease := New(100), NewLease()
	if err := lease.Reserve(t.Context(), budget, 30); err != nil {
		t.Fatalf("Reserve of 30 of 100 bytes: got %v, want no error", err)
	}
	if !lease.TryReserve(budget, 50) {
		t.Fatal("TryReserve of 50 of 70 free bytes = false, want true")
	}
	lease.Hold()
	lease.Release()
	requireFree(t, budget, 20)
	lease.Release()
	requireFree(t, budget, 100)
}

// Guards against data that a forgotten reference keeps in memory after its reservation is released: the last holder drops
// the data first.
func TestLastHolderDropsTheDataBeforeItsReservation(t *testing.T) {
	budget, lease := New(100), NewLease()
	if !lease.TryReserve(budget, 60) {
		t.Fatal("TryReserve of 60 of 100 bytes = false, want true")
	}
	drops := 0
	lease.DropOnRelease(func() {
		drops++
		requireFree(t, budget, 40)
	})
	lease.Hold()
	lease.Release()
	if drops != 0 {
		t.Errorf("drops while the lease has a holder: got %d, want 0", drops)
	}
	lease.Release()
	if drops != 1 {
		t.Errorf("drops after the last holder has released the lease: got %d, want 1", drops)
	}
	requireFree(t, budget, 100)
}

func TestReserveEndsWithItsContext(t *testing.T) {
	budget := New(100)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if !budget.TryReserve(60) {
		t.Fatal("TryReserve of 60 of 100 bytes = false, want true")
	}
	for _, bytes := range []int{50, 101} {
		if err := budget.Reserve(ctx, bytes); !errors.Is(err, ErrExhausted) {
			t.Errorf("Reserve of %d of 40 free bytes: got %v, want %v", bytes, err, ErrExhausted)
		}
	}
	requireFree(t, budget, 40)
}

func TestReserveWaitsUntilMemoryIsReleased(t *testing.T) {
	budget, lease := New(100), NewLease()
	if !budget.TryReserve(60) {
		t.Fatal("TryReserve of 60 of 100 bytes = false, want true")
	}
	reserved := make(chan error)
	go func() { reserved <- lease.Reserve(t.Context(), budget, 50) }()
	budget.Release(60)
	if err := <-reserved; err != nil {
		t.Errorf("Reserve of 50 bytes after a release: got %v, want no error", err)
	}
	requireFree(t, budget, 50)
}

func TestNilBudgetAndLeaseHaveNoLimit(t *testing.T) {
	var budget *Budget
	var lease *Lease
	lease.Hold()
	if err := NewLease().Reserve(t.Context(), budget, 1<<40); err != nil || !budget.TryReserve(1<<40) {
		t.Errorf("reservations of a nil budget: got error %v, want none", err)
	}
	if err := lease.Reserve(t.Context(), New(1), 2); err != nil {
		t.Errorf("Reserve of a nil lease: got %v, want no error", err)
	}
	lease.Release()
	budget.Release(1 << 40)
}
