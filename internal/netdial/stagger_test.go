package netdial

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

const (
	testInterval = 500 * time.Millisecond
	testTimeout  = 1500 * time.Millisecond
)

// partitionedPeer is a peer that no packet reaches before healedAt.
type partitionedPeer struct {
	healedAt time.Time

	mu            sync.Mutex
	inProgress    int // number of attempts in progress
	maxInProgress int // highest value of inProgress
}

func (p *partitionedPeer) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	p.addInProgress(1)
	defer p.addInProgress(-1)
	if time.Now().Before(p.healedAt) { // the SYN is lost and is not retransmitted
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
	}
	conn, _ := net.Pipe()
	return conn, nil
}

// addInProgress changes the number of attempts in progress.
func (p *partitionedPeer) addInProgress(delta int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inProgress += delta
	p.maxInProgress = max(p.maxInProgress, p.inProgress)
}

// checkAttempts fails the test if attempts are still in progress or if too many were in progress at once.
func (p *partitionedPeer) checkAttempts(t *testing.T) {
	t.Helper()
	synctest.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inProgress != 0 || p.maxInProgress > int(testTimeout/testInterval)+1 {
		t.Errorf("attempts: got %d still in progress, at most %d at once; want 0, at most %d",
			p.inProgress, p.maxInProgress, int(testTimeout/testInterval)+1)
	}
}

// However long a network partition lasts, the dial succeeds within an interval after the partition has healed, and no
// attempt outlasts its timeout or the dial.
func TestStaggeredDialReachesAPeerAfterAPartition(t *testing.T) {
	for _, partition := range []time.Duration{0, testInterval, 4 * time.Second, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			peer := &partitionedPeer{healedAt: start.Add(partition)}
			conn, err := Stagger(peer.dial, testInterval, testTimeout)(t.Context(), "tcp", "peer")
			if err != nil {
				t.Fatal(err)
			}
			_ = conn.Close() // nothing was sent on the connection
			if took := time.Since(start); took > partition+testInterval {
				t.Errorf("duration of the dial during a partition of %v: got %v, want at most %v",
					partition, took, partition+testInterval)
			}
			peer.checkAttempts(t)
		})
	}
}

func TestStaggeredDialEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		peer := &partitionedPeer{healedAt: start.Add(time.Hour)}
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		_, err := Stagger(peer.dial, testInterval, testTimeout)(ctx, "tcp", "peer")
		if !errors.Is(err, context.DeadlineExceeded) || time.Since(start) != 4*time.Second {
			t.Errorf("dial of an unreachable peer: got error %v after %v, want %v after 4s",
				err, time.Since(start), context.DeadlineExceeded)
		}
		peer.checkAttempts(t)
	})
}

// If the peer refuses the connection, the dial fails at once. A timeout that the operating system reports ends only the
// attempt.
func TestStaggeredDialFailsWhenThePeerRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		errnos := []syscall.Errno{syscall.ETIMEDOUT, syscall.ECONNREFUSED}
		attempts := 0
		dial := func(context.Context, string, string) (net.Conn, error) {
			errno := errnos[attempts]
			attempts++
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
		}
		_, err := Stagger(dial, testInterval, testTimeout)(t.Context(), "tcp", "peer")
		if !errors.Is(err, syscall.ECONNREFUSED) || attempts != len(errnos) {
			t.Errorf("dial of a refusing peer: got error %v after %d attempts, want %v after %d",
				err, attempts, syscall.ECONNREFUSED, len(errnos))
		}
	})
}
