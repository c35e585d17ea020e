package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/internal/endpointjson"
	"calicohinge/policy"
)

// A watch is a long poll. What a watch misses counts as notified policy.NotificationDeadline after it
// became silent, which may be at its start. Within that time the client has to detect the silence and to
// have another call answered: half of it goes to the wait of the watch, a quarter to a late answer, and a
// quarter remains for the other call.
const (
	watchWait         = policy.NotificationDeadline / 2 // for which the discovery service is asked to wait
	watchAnswerMargin = policy.NotificationDeadline / 4 // by which its answer may be late
	// A call for the complete list gets as long: a service that is short of time would never catch up with a
	// fleet that repeats its calls earlier.
	callPatience = watchWait + watchAnswerMargin
	// The first call after a change of the address leaves time for another one before the deadline.
	addressChangePatience = addressChangeDeadline / 2
)

// maxListBytes bounds the body of an answer.
const maxListBytes = 8 << 20

// query is one question to the service.
type query struct {
	url      string
	complete bool   // it asks for the complete list
	after    uint64 // otherwise for what is newer than this generation
}

// query returns the question of the next call: what is newer than the present list, or the complete list
// if there is none.
func (f *follower) query() query {
	url := "http://" + f.address + "/registry/instances"
	if !f.haveList {
		return query{url: url, complete: true}
	}
	return query{
		url: url + "?after=" + strconv.FormatUint(f.generation, 10) +
			"&wait_ms=" + strconv.FormatInt(watchWait.Milliseconds(), 10),
		after: f.generation,
	}
}

// fetch makes the next call and waits for its answer, for as long as the follower has patience, or for that
// to an earlier one. It returns the call that was answered. Its errors are of type *Error, or that of ctx.
func (f *follower) fetch(ctx context.Context) (*openCall, error) {
	call := f.calls.start(ctx, f.address, f.query())
	f.history.begin(call.progress)
	patience := time.NewTimer(f.patience())
	defer patience.Stop()
	for {
		select {
		case ended := <-f.calls.ended:
			if ended == call {
				f.calls.answered(call)
				return call, call.err
			}
			if f.answeredEarlier(ended) {
				f.leave(call)
				return ended, nil
			}
		case <-patience.C:
			f.leave(call)
			return call, f.unanswered()
		case <-ctx.Done():
			f.leave(call)
			return call, ctx.Err()
		}
	}
}

// patience returns how long the next call may go without an answer before another one is made.
func (f *follower) patience() time.Duration {
	if f.awaitingFirstList() {
		return addressChangePatience
	}
	return callPatience
}

// leave leaves a call open that has no answer yet, unless it has not reached the service: then none can be on
// its way.
func (f *follower) leave(call *openCall) {
	if call.progress.current() < phaseWriting {
		f.calls.cancel(call)
	}
}

// unanswered returns the error of a call that was not answered in time.
func (f *follower) unanswered() error {
	err := &Error{Kind: Timeout, Err: context.DeadlineExceeded}
	if f.haveList {
		return &Error{Kind: Unresponsive, Err: err}
	}
	return err
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
	var list endpointjson.List
	if err := json.Unmarshal(body, &list); err != nil {
		return endpoint.List{}, &Error{Kind: Malformed, Err: fmt.Errorf("decode endpoint list: %w", err)}
	}
	if q.complete {
		list.Reset = true
	}
	return list.Translate(), nil
}
