package discovery

import (
	"context"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
)

// callPhase is how far a call has come.
type callPhase int32

// The phases of a call, in their order.
const (
	// phaseQueued is a call that waits for the HTTP client to give it a connection.
	phaseQueued callPhase = iota
	// phaseConnecting is a call whose connection is being opened.
	phaseConnecting
	// phaseWriting is a call that has a connection.
	phaseWriting
	// phaseWaiting is a call that has been written and has no byte of a response yet.
	phaseWaiting
	// phaseReading is a call whose response has begun.
	phaseReading
)

// String names the phase as in the log.
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

// callProgress records how far a call has come. The HTTP client updates it from goroutines of its own.
type callProgress struct{ phase atomic.Int32 }

// advance records that a call has reached a phase. The phase never goes back: the HTTP client may report the
// connection attempt of a call after the call has got another connection.
func (p *callProgress) advance(phase callPhase) {
	for current := p.phase.Load(); current < int32(phase); current = p.phase.Load() {
		if p.phase.CompareAndSwap(current, int32(phase)) {
			return
		}
	}
}

// current returns the phase of the call.
func (p *callProgress) current() callPhase { return callPhase(p.phase.Load()) }

// track returns a context for the HTTP request of the call, which makes the HTTP client update the progress.
func (p *callProgress) track(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		ConnectStart:         func(string, string) { p.advance(phaseConnecting) },
		GotConn:              func(httptrace.GotConnInfo) { p.advance(phaseWriting) },
		WroteRequest:         func(httptrace.WroteRequestInfo) { p.advance(phaseWaiting) },
		GotFirstResponseByte: func() { p.advance(phaseReading) },
	})
}
