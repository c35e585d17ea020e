package downstream

import (
	"context"
	"log/slog"
	"net"
	"os"

	"calicohinge/internal/syserror"
)

// StopAccepting refuses new connections and closes the listener. Accept first returns the connections
// that the kernel has already established, then an error. Closing the listener immediately would
// reset these connections, although their clients may have sent requests. When ctx is done,
// StopAccepting gives up on connections that it could not accept or pass to Accept.
func (l *Listener) StopAccepting(ctx context.Context) {
	l.stopping.Store(true)
	defer close(l.queued)
	defer func() { _ = l.inner.Close() }() // Accept returns the error of a closed or failed listener
	raw, err := rawConn(l.inner)
	if err != nil {
		return
	}
	if err := dropHandshakes(raw); err != nil {
		slog.Debug("cannot refuse connections ahead of the listener's close", "err", err)
	}
	for {
		descriptors, err := acceptAllQueued(raw)
		for _, descriptor := range descriptors {
			l.passToAccept(ctx, descriptor)
		}
		if err == nil || !isTemporaryAcceptError(err) || ctx.Err() != nil {
			return
		}
		l.waitBackoff(minAcceptBackoff)
	}
}

// passToAccept passes the connection of a descriptor to Accept. If Accept has not received the
// connection when ctx is done, passToAccept closes it.
func (l *Listener) passToAccept(ctx context.Context, descriptor int) {
	file := os.NewFile(uintptr(descriptor), "accepted connection")
	defer func() { _ = file.Close() }() // net.FileConn duplicates the descriptor
	netConn, err := net.FileConn(file)
	for err != nil && syserror.IsShortage(err) && ctx.Err() == nil && l.waitBackoff(minAcceptBackoff) {
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
		_ = netConn.Close() // the loss is already logged
	}
}
