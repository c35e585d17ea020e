package discovery

import (
	"context"
	"time"

	"calicohinge/internal/endpoint"
)

// hedgeDelay is how long the first call at a new address may go without an answer before another one is
// made, on a connection of its own: half of the time until its list is due, so that both can be answered.
const hedgeDelay = addressChangeDeadline / 2

// callResult is the result of one call.
type callResult struct {
	list endpoint.List
	err  error
}

// hedge makes a call, and a second one if the first has no answer after hedgeDelay. The first list counts.
// Neither call is given up for the other: the service takes its calls in turn, so that a call that is
// cancelled and repeated goes to the end of the queue, while one whose connection has become silent is
// never answered. It fails when every call that was made has failed.
func hedge(
	ctx context.Context, call func(context.Context, query) (endpoint.List, error), question query,
) (endpoint.List, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the call that is left
	results := make(chan callResult, 2)
	start := func() {
		list, err := call(ctx, question)
		results <- callResult{list, err}
	}
	go start()
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	for pending := 1; ; {
		select {
		case result := <-results:
			if pending--; result.err == nil || pending == 0 {
				return result.list, result.err
			}
		case <-timer.C:
			go start()
			pending++
		}
	}
}
