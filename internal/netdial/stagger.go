package netdial

import (
	"context"
	"errors"
	"net"
	"os"
	"time"
)

// dialResult is the result of one attempt to open a connection.
type dialResult struct {
	conn net.Conn
	err  error
}

// Stagger returns a function that begins another attempt to open the connection after each interval in which
// none has succeeded, and gives each attempt up after limit. The first connection counts. It fails when ctx
// ends, or as soon as an attempt fails for another reason than its limit.
//
// A peer that does not answer would otherwise decide when the connection is tried again: the system repeats
// a SYN after pauses that double, to half a minute.
func Stagger(dial Func, interval, limit time.Duration) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		attemptCtx, cancel := context.WithCancel(ctx)
		defer cancel() // ends the other attempts
		results := make(chan dialResult)
		start := func() { go dialOnce(attemptCtx, dial, network, address, limit, results) }
		start()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case result := <-results:
				if result.err == nil || !isTimeout(result.err) {
					return result.conn, result.err
				}
			case <-ticker.C:
				start()
			case <-ctx.Done():
				return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
			}
		}
	}
}

// dialOnce makes one attempt and hands its result on, unless ctx ends before.
func dialOnce(
	ctx context.Context, dial Func, network, address string, limit time.Duration, results chan<- dialResult,
) {
	dialCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	conn, err := dial(dialCtx, network, address)
	select {
	case results <- dialResult{conn, err}:
	case <-ctx.Done():
		if err == nil {
			_ = conn.Close() // nothing was sent on it
		}
	}
}

// isTimeout reports whether an attempt ended at its limit or at that of the system.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) ||
		errors.As(err, &netErr) && netErr.Timeout()
}
