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
)

// listPath is the URL path of the endpoint list.
const listPath = "/registry/instances"

// maxListBytes is the maximum number of bytes that are read from a response body. The rest is ignored.
const maxListBytes = 8 << 20

// query requests a snapshot, or the changes after a generation.
type query struct {
	url      string
	snapshot bool   // whether a snapshot is requested
	after    uint64 // generation after which changes are requested; unused if a snapshot is requested
}

// snapshotQuery returns a query for a snapshot.
func snapshotQuery(address string) query {
	return query{url: "http://" + address + listPath, snapshot: true}
}

// watchQuery returns a long poll for the changes after a generation, for which the service waits for the given time.
func watchQuery(address string, after uint64, wait time.Duration) query {
	return query{
		url: "http://" + address + listPath + "?after=" + strconv.FormatUint(after, 10) +
			"&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10),
		after: after,
	}
}

// send sends a query and returns the list from the response. It returns only errors of type *Error.
func (c *Client) send(ctx context.Context, query query) (endpoint.List, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, query.url, nil)
	if err != nil {
		return endpoint.List{}, &Error{Kind: Unreachable, Err: err}
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return endpoint.List{}, transportError(err)
	}
	defer func() { _ = response.Body.Close() }() // the body was read, or the read error is returned
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return endpoint.List{}, transportError(err)
	}
	if response.StatusCode != http.StatusOK {
		return endpoint.List{}, &Error{Kind: BadStatus, Status: response.StatusCode}
	}
	list, err := query.decode(body)
	list.SentAt = sentAt(response.Header)
	return list, err
}

// sentAt returns the time in the field Date of a response's header, or the zero time if there is no valid one.
func sentAt(header http.Header) time.Time {
	date, err := http.ParseTime(header.Get("Date"))
	if err != nil {
		return time.Time{}
	}
	return date
}

// decode decodes the body of a response. The response to a query for a snapshot is a snapshot, even if its field
// "reset" is not set.
func (q query) decode(body []byte) (endpoint.List, error) {
	var list endpointjson.List
	if err := json.Unmarshal(body, &list); err != nil {
		return endpoint.List{}, &Error{Kind: Malformed, Err: fmt.Errorf("decode endpoint list: %w", err)}
	}
	if q.snapshot {
		list.Reset = true
	}
	return list.Translate(), nil
}
