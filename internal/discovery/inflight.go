package discovery

import (
	"context"
	"slices"
	"sync"
	"time"

	"calicohinge/internal/endpoint"
)

const (
	// maxInFlightCalls is the maximum number of calls in flight: the current call, calls whose response timeout has
	// passed, and calls to previous addresses. It allows for a watch, a call to each of four new addresses in a
	// row, and one more call.
	maxInFlightCalls = 6
	// maxCallDuration is the maximum duration of a call that no later call has superseded. When it has passed, the
	// node has made several other calls.
	maxCallDuration = 30 * time.Second
)

// call is one call to the discovery service.
type call struct {
	address   string
	query     query
	startedAt time.Time
	progress  *callProgress
	cancel    context.CancelFunc

	// The result. It is valid after the call has been received from inFlightCalls.done.
	list endpoint.List
	err  error // nil if the call has returned a list
}

// sendFunc sends a query and returns the list from the response.
type sendFunc func(context.Context, query) (endpoint.List, error)

// inFlightCalls holds the calls whose responses may still be used, in the order in which they started. The node
// counts as notified of a list as soon as the service has written it. Such a response may be in transit when the
// response timeout passes or the address changes. A call that has a connection is therefore not cancelled then: it
// stays in flight until a later call returns a list, until maxCallDuration has passed, or until it is the oldest of
// more than maxInFlightCalls calls. All methods except close are called only by the goroutine of the current
// follower.
//
//	event                                   method     effect
//	-----                                   ------     ------
//	a call is made                          start      cancels the oldest call if there are too many
//	a follower no longer waits for a call   detach     cancels it if it has no connection yet
//	a call has returned an error            finish     removes it
//	a call has returned a list              finish     removes it and cancels the calls that started before it
//	the client stops                        close      cancels all calls
type inFlightCalls struct {
	send       sendFunc
	calls      []*call
	done       chan *call     // receives each call that returns before it is cancelled
	goroutines sync.WaitGroup // one goroutine per call
}

func newInFlightCalls(send sendFunc) *inFlightCalls {
	return &inFlightCalls{send: send, done: make(chan *call)}
}

// start makes a call, which is not cancelled when ctx is done. It first cancels the oldest call if there would be
// more than maxInFlightCalls.
func (c *inFlightCalls) start(ctx context.Context, address string, query query) *call {
	if len(c.calls) >= maxInFlightCalls {
		c.cancelOldest(1)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxCallDuration)
	started := &call{
		address:   address,
		query:     query,
		startedAt: time.Now(),
		progress:  newCallProgress(),
		cancel:    cancel,
	}
	c.calls = append(c.calls, started)
	c.goroutines.Go(func() {
		started.list, started.err = c.send(withCallContext(started.progress.track(ctx)), query)
		select {
		case c.done <- started:
		case <-ctx.Done():
		}
	})
	return started
}

// detach leaves in flight a call that its follower no longer waits for. A call that has no connection yet is
// cancelled instead, because the service cannot have written a response to it.
func (c *inFlightCalls) detach(detached *call) {
	if detached.progress.current() < phaseWriting {
		c.remove(detached)
	}
}

// finish ends a call that has been received from done. If the call has returned a list, it supersedes the calls
// that started before it. finish reports whether the list is to be used, which it is not if the call has failed or
// has itself been superseded.
func (c *inFlightCalls) finish(finished *call) bool {
	index := slices.Index(c.calls, finished)
	if index < 0 {
		return false
	}
	if finished.err != nil {
		c.remove(finished)
		return false
	}
	c.cancelOldest(index + 1)
	return true
}

// cancelOldest cancels the given number of calls, oldest first.
func (c *inFlightCalls) cancelOldest(count int) {
	for _, oldest := range slices.Clone(c.calls[:count]) {
		c.remove(oldest)
	}
}

// remove cancels a call whose result is no longer needed or has been received. Every call ends here.
func (c *inFlightCalls) remove(ended *call) {
	ended.cancel()
	c.calls = slices.DeleteFunc(c.calls, func(other *call) bool { return other == ended })
}

// close cancels all calls and waits for their goroutines.
func (c *inFlightCalls) close() {
	c.cancelOldest(len(c.calls))
	c.goroutines.Wait()
}
