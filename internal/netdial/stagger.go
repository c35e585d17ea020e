package netdial

import (
	"context"
	"errors"
	"net"
	"os"
	"time"
)

// Stagger returns a function that begins an attempt to open the connection at once and after each interval,
// until one has succeeded, and ends each attempt after timeout. It returns the first connection and
// closes those of the other attempts. It fails when ctx ends, or as soon as an attempt fails for another
// reason than a timeout.
//
// A single attempt would notice only at the next SYN that an unresponsive peer has recovered. The system repeats
// the SYN after delays that double up to half a minute.
func Stagger(dial Func, interval, timeout time.Duration) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		d := staggeredDial{dial, network, address, timeout, make(chan dialResult)}
		return d.run(ctx, interval)
	}
}

// staggeredDial is one call of a function that Stagger returned.
type staggeredDial struct {
	dial             Func
	network, address string
	timeout          time.Duration   // of each attempt
	results          chan dialResult // of the attempts
}

// dialResult is the result of one attempt to open a connection.
type dialResult struct {
	conn net.Conn
	err  error
}

// run begins the attempts and waits for a result that counts. The context ends all attempts.
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

// attempt makes one attempt and delivers its result, unless ctx ends before: then it closes the connection.
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

// isTimeout reports whether an attempt ended at its own timeout or at that of the operating system.
func isTimeout(err error) bool {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) {
		return true
	}
	netErr, ok := errors.AsType[net.Error](err)
	return ok && netErr.Timeout()
}
