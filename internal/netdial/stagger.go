package netdial

import (
	"context"
	"errors"
	"net"
	"os"
	"time"
)

// Stagger returns a dial function that starts an attempt at once and another after each interval until an attempt
// succeeds. Each attempt ends after timeout. The function returns the first connection and closes those of the
// other attempts. It fails when ctx ends, or as soon as an attempt fails other than by a timeout.
//
// With a single attempt, the recovery of an unresponsive peer would go unnoticed until the next SYN. The operating
// system retransmits the SYN after delays that double up to half a minute.
func Stagger(dial Func, interval, timeout time.Duration) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		d := staggeredDial{dial, network, address, timeout, make(chan dialResult)}
		return d.run(ctx, interval)
	}
}

// staggeredDial is one call of a dial function that Stagger returned.
type staggeredDial struct {
	dial             Func
	network, address string
	timeout          time.Duration   // maximum duration of each attempt
	results          chan dialResult // unbuffered, so that an attempt closes a connection that run does not receive
}

// dialResult is the result of one attempt.
type dialResult struct {
	conn net.Conn
	err  error
}

// run starts the attempts and returns the first result that is not a timeout. All attempts end with ctx.
func (d *staggeredDial) run(ctx context.Context, interval time.Duration) (net.Conn, error) {
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the other attempts
	go d.attempt(attemptCtx)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case result := <-d.results:
			if result.err == nil || !isTimeout(result.err) {
				return result.conn, result.err
			}
		case <-ticker.C:
			go d.attempt(attemptCtx)
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: d.network, Err: ctx.Err()}
		}
	}
}

// attempt makes one attempt and delivers its result. If ctx ends before the result is received, attempt closes the
// connection instead.
func (d *staggeredDial) attempt(ctx context.Context) {
	dialCtx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	conn, err := d.dial(dialCtx, d.network, d.address)
	select {
	case d.results <- dialResult{conn, err}:
	case <-ctx.Done():
		if err == nil {
			_ = conn.Close() // nothing was sent on it
		}
	}
}

// isTimeout reports whether an attempt failed by its own timeout or by that of the operating system.
func isTimeout(err error) bool {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) {
		return true
	}
	netErr, ok := errors.AsType[net.Error](err)
	return ok && netErr.Timeout()
}
