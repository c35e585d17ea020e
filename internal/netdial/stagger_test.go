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
	testLimit    = 1500 * time.Millisecond
)

// silentPeer is a peer that answers no attempt to connect before a given time.
type silentPeer struct {
	answersAt time.Time

	mu   sync.Mutex
	open int // attempts that are under way
	most int // that were under way at once
}

func (p *silentPeer) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	p.count(1)
	defer p.count(-1)
	if time.Now().Before(p.answersAt) { // the packet is lost, and no other one follows
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
	}
	conn, _ := net.Pipe()
	return conn, nil
}

// count adds to the attempts that are under way.
func (p *silentPeer) count(attempts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open += attempts
	p.most = max(p.most, p.open)
}

// check fails the test if attempts are left behind, or if there were too many at once.
func (p *silentPeer) check(t *testing.T) {
	t.Helper()
	synctest.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open != 0 || p.most > int(testLimit/testInterval)+1 {
		t.Errorf("%d attempts are left behind, there were up to %d at once", p.open, p.most)
	}
}

// A peer answers no attempt for a while: the connection comes up an interval after its return at the latest,
// however long it was away, and no attempt outlasts its limit or the call.
func TestStaggeredDialReachesAPeerThatReturns(t *testing.T) {
	for _, away := range []time.Duration{0, testInterval, 4 * time.Second, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			peer := &silentPeer{answersAt: began.Add(away)}
			conn, err := Stagger(peer.dial, testInterval, testLimit)(t.Context(), "tcp", "peer")
			if err != nil {
				t.Fatal(err)
			}
			_ = conn.Close() // nothing was sent on it
			if took := time.Since(began); took > away+testInterval {
				t.Errorf("connected after %v, the peer was away for %v", took, away)
			}
			peer.check(t)
		})
	}
}

func TestStaggeredDialEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		peer := &silentPeer{answersAt: began.Add(time.Hour)}
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		_, err := Stagger(peer.dial, testInterval, testLimit)(ctx, "tcp", "peer")
		if !errors.Is(err, context.DeadlineExceeded) || time.Since(began) != 4*time.Second {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		peer.check(t)
	})
}

// A refusal is an answer: it ends the dial at once. That the system gives an attempt up is none.
func TestStaggeredDialFailsWithItsPeersRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		errnos := []syscall.Errno{syscall.ETIMEDOUT, syscall.ECONNREFUSED}
		attempts := 0
		dial := func(context.Context, string, string) (net.Conn, error) {
			errno := errnos[attempts]
			attempts++
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
		}
		_, err := Stagger(dial, testInterval, testLimit)(t.Context(), "tcp", "peer")
		if !errors.Is(err, syscall.ECONNREFUSED) || attempts != len(errnos) {
			t.Errorf("%v after %d attempts", err, attempts)
		}
	})
}
