package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"calicohinge/internal/endpoint"
	"calicohinge/policy"
)

// A watch is a long poll. What a watch misses counts as notified policy.NotificationDeadline after it
// became silent, which may be at its start. Within that time the client has to detect the silence and to
// have another call answered: half of it goes to the wait of the watch, a quarter to a late answer, and a
// quarter remains for the other call.
const (
	watchWait         = policy.NotificationDeadline / 2 // for which the discovery service is asked to wait
	watchAnswerMargin = policy.NotificationDeadline / 4 // by which its answer may be late
	// A call for the complete list gets as long: the service also works off calls that were cancelled, and
	// would never catch up with a fleet that cancels and repeats its calls earlier.
	callTimeout = watchWait + watchAnswerMargin
)

// maxListBytes bounds the body of an answer.
const maxListBytes = 8 << 20

// query is one question to the service, the same for a call and a hedged one.
type query struct {
	url      string
	complete bool // it asks for the complete list
}

// query returns the question of the next call: what is newer than the present list, or the complete list
// if there is none.
func (f *follower) query() query {
	url := "http://" + f.address + "/registry/instances"
	if !f.haveList {
		return query{url: url, complete: true}
	}
	return query{url: url + "?after=" + strconv.FormatUint(f.generation, 10) +
		"&wait_ms=" + strconv.FormatInt(watchWait.Milliseconds(), 10)}
}

// fetch makes the next call and waits for its answer. Its errors are of type *Error.
func (f *follower) fetch(ctx context.Context) (endpoint.List, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	trackedCtx := f.history.begin(callCtx)
	call := func(ctx context.Context, question query) (endpoint.List, error) {
		return f.client.call(withCall(ctx), question)
	}
	var list endpoint.List
	var err error
	if f.awaitingFirstList() {
		list, err = hedge(trackedCtx, call, f.query())
	} else {
		list, err = call(trackedCtx, f.query())
	}
	if err != nil && f.haveList && ctx.Err() == nil && callCtx.Err() != nil {
		err = &Error{Kind: Silent, Err: err}
	}
	return list, err
}

// call asks the service a question.
func (c *Client) call(ctx context.Context, question query) (endpoint.List, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, question.url, nil)
	if err != nil {
		return endpoint.List{}, &Error{Kind: Unreachable, Err: err}
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return endpoint.List{}, transportError(err)
	}
	defer func() { _ = response.Body.Close() }() // nothing of the body is used any more
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return endpoint.List{}, transportError(err)
	}
	if response.StatusCode != http.StatusOK {
		return endpoint.List{}, &Error{Kind: BadStatus, Status: response.StatusCode}
	}
	return question.decode(body)
}

// decode reads a list from the body of an answer.
func (q query) decode(body []byte) (endpoint.List, error) {
	var list endpoint.List
	if err := json.Unmarshal(body, &list); err != nil {
		return endpoint.List{}, &Error{Kind: Malformed, Err: fmt.Errorf("decode endpoint list: %w", err)}
	}
	if q.complete {
		list.Reset = true
	}
	return list, nil
}
