package discovery

import (
	"context"
	"slices"
	"sync"
	"time"

	"calicohinge/internal/endpoint"
)

const (
	// maxOpenCalls bounds the calls that are open at once: the present one, and those whose patience has
	// ended or whose address has changed: a watch, four addresses in a row and a repeated call fit.
	maxOpenCalls = 6
	// callLimit ends a call that no other one has replaced. A service that takes longer for an answer is of
	// no use; the node has made several calls since.
	callLimit = 30 * time.Second
)

// openCall is a call that has been started.
type openCall struct {
	address  string
	question query
	progress *callProgress
	cancel   context.CancelFunc

	list endpoint.List // the result, once the call has been received from openCalls.ended
	err  error
}

// openCalls are the calls that wait for answers, in the order of their starts. The node counts as notified
// of what the service has written, whether or not it has read it. A call is therefore never cancelled
// because time has passed or the address has changed, as its answer may be on its way: it stays open until
// a later one has been answered. It belongs to the goroutine of the follower, one at a time.
type openCalls struct {
	call  func(context.Context, query) (endpoint.List, error)
	open  []*openCall
	ended chan *openCall // gets each call that has not been cancelled
	all   sync.WaitGroup // goroutines of calls
}

func newOpenCalls(call func(context.Context, query) (endpoint.List, error)) *openCalls {
	return &openCalls{call: call, ended: make(chan *openCall)}
}

// start makes a call, which outlasts ctx. The oldest one is cancelled if there would be too many.
func (o *openCalls) start(ctx context.Context, address string, question query) *openCall {
	if len(o.open) >= maxOpenCalls {
		o.cancel(o.open[0])
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callLimit)
	started := &openCall{address: address, question: question, progress: &callProgress{}, cancel: cancel}
	o.open = append(o.open, started)
	o.all.Go(func() {
		list, err := o.call(withCall(started.progress.track(ctx)), question)
		started.list, started.err = list, err
		select {
		case o.ended <- started:
		case <-ctx.Done():
		}
	})
	return started
}

// cancel ends a call whose result is of no use any more.
func (o *openCalls) cancel(call *openCall) {
	call.cancel()
	o.open = slices.DeleteFunc(o.open, func(other *openCall) bool { return other == call })
}

// answered reports whether the list of a call that has ended is to be used: its call is still open. Then
// it replaces all calls that were started before.
func (o *openCalls) answered(call *openCall) bool {
	index := slices.Index(o.open, call)
	if index < 0 {
		return false
	}
	if call.err != nil {
		o.cancel(call)
		return false
	}
	for _, former := range slices.Clone(o.open[:index+1]) {
		o.cancel(former)
	}
	return true
}

// close cancels all calls and waits until they have ended.
func (o *openCalls) close() {
	for _, call := range slices.Clone(o.open) {
		o.cancel(call)
	}
	o.all.Wait()
}
