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
	// The first call after a change of the address leaves time for another one before the deadline.
	addressChangeCallTimeout = addressChangeDeadline / 2
)

// maxListBytes bounds the body of an answer.
const maxListBytes = 8 << 20

// fetch requests what is newer than the present list and waits for it, or requests the complete list if
// there is none. Its errors are of type *Error.
func (f *follower) fetch(ctx context.Context) (endpoint.List, error) {
	callCtx, cancel := context.WithTimeout(ctx, f.timeout())
	defer cancel()
	list, err := f.call(f.history.begin(callCtx))
	if err != nil && f.haveList && ctx.Err() == nil && callCtx.Err() != nil {
		err = &Error{Kind: Silent, Err: err}
	}
	return list, err
}

// timeout returns how long the next call may take.
func (f *follower) timeout() time.Duration {
	if f.awaitingFirstList() {
		return addressChangeCallTimeout
	}
	return callTimeout
}

// call makes one call.
func (f *follower) call(ctx context.Context) (endpoint.List, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url(), nil)
	if err != nil {
		return endpoint.List{}, &Error{Kind: Unreachable, Err: err}
	}
	response, err := f.client.httpClient.Do(request)
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
	return f.decode(body)
}

// url returns the address of the next call with its query.
func (f *follower) url() string {
	url := "http://" + f.address + "/registry/instances"
	if !f.haveList {
		return url
	}
	return url + "?after=" + strconv.FormatUint(f.generation, 10) +
		"&wait_ms=" + strconv.FormatInt(watchWait.Milliseconds(), 10)
}

// decode reads a list from the body of an answer.
func (f *follower) decode(body []byte) (endpoint.List, error) {
	var list endpoint.List
	if err := json.Unmarshal(body, &list); err != nil {
		return endpoint.List{}, &Error{Kind: Malformed, Err: fmt.Errorf("decode endpoint list: %w", err)}
	}
	if !f.haveList {
		list.Reset = true // the complete list was requested
	}
	return list, nil
}
