package discovery

import (
	"context"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
)

// callPhase is a phase of a call.
type callPhase int32

// The phases, in order.
const (
	// phaseQueued is waiting for the HTTP client to assign a connection.
	phaseQueued callPhase = iota
	// phaseConnecting is waiting for a connection that is being opened.
	phaseConnecting
	// phaseWriting is writing the query to a connection.
	phaseWriting
	// phaseWaiting is waiting for the first byte of the response.
	phaseWaiting
	// phaseReading is reading the response.
	phaseReading
)

// String returns the name of the phase in log messages.
func (p callPhase) String() string {
	switch p {
	case phaseQueued:
		return "queued"
	case phaseConnecting:
		return "connecting"
	case phaseWriting:
		return "writing"
	case phaseWaiting:
		return "waiting"
	case phaseReading:
		return "reading"
	}
	return "phase " + strconv.Itoa(int(p))
}

// callProgress records the phase that a call has reached. The HTTP client updates it from its own goroutines.
type callProgress struct {
	phase         atomic.Int32
	connected     chan struct{} // closed when the call has a connection
	markConnected func()        // closes connected once
}

func newCallProgress() *callProgress {
	connected := make(chan struct{})
	return &callProgress{connected: connected, markConnected: sync.OnceFunc(func() { close(connected) })}
}

// advance records that the call has reached a phase. The phase never goes back, even though the HTTP client may
// report a connection attempt for a call that has already been assigned another connection.
func (p *callProgress) advance(phase callPhase) {
	for current := p.phase.Load(); current < int32(phase); current = p.phase.Load() {
		if p.phase.CompareAndSwap(current, int32(phase)) {
			return
		}
	}
}

// current returns the latest phase that the call has reached.
func (p *callProgress) current() callPhase { return callPhase(p.phase.Load()) }

// track returns a context for the HTTP request of the call. It makes the HTTP client update p.
func (p *callProgress) track(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		ConnectStart: func(string, string) { p.advance(phaseConnecting) },
		GotConn: func(httptrace.GotConnInfo) {
			p.advance(phaseWriting)
			p.markConnected()
		},
		WroteRequest:         func(httptrace.WroteRequestInfo) { p.advance(phaseWaiting) },
		GotFirstResponseByte: func() { p.advance(phaseReading) },
	})
}
