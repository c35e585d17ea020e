package downstream

import (
	"context"
	"log/slog"
	"net"
	"os"

	"calicohinge/internal/syserror"
)

// StopAccepting refuses new connections and closes the listener. Connections that the
// system has established by then are returned by Accept before it fails: closing a listener
// resets those in its queue, whose clients may have sent requests. It gives up on a
// connection that cannot be accepted when ctx ends.
func (l *Listener) StopAccepting(ctx context.Context) {
	l.stopping.Store(true)
	defer close(l.queued)
	defer func() { _ = l.inner.Close() }() // Accept returns the error
	raw, err := rawConn(l.inner)
	if err != nil {
		return
	}
	if err := dropHandshakes(raw); err != nil {
		slog.Debug("cannot refuse connections ahead of the listener's close", "err", err)
	}
	for {
		descriptors, err := acceptQueue(raw)
		for _, descriptor := range descriptors {
			l.enqueue(ctx, descriptor)
		}
		if err == nil || !temporaryAcceptError(err) || ctx.Err() != nil {
			return
		}
		l.wait(minAcceptBackoff)
	}
}

// enqueue has Accept return the connection of a descriptor, if it is called before ctx ends.
func (l *Listener) enqueue(ctx context.Context, descriptor int) {
	file := os.NewFile(uintptr(descriptor), "accepted connection")
	defer func() { _ = file.Close() }() // the connection has a copy, nothing is written here
	netConn, err := net.FileConn(file)
	for err != nil && syserror.IsShortage(err) && ctx.Err() == nil && l.wait(minAcceptBackoff) {
		netConn, err = net.FileConn(file)
	}
	if err != nil {
		slog.Error("accepted connection lost", "err", err)
		return
	}
	select {
	case l.queued <- netConn:
	case <-ctx.Done():
		slog.Error("accepted connection lost", "err", ctx.Err())
		_ = netConn.Close() // as above
	}
}
