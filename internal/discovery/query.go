package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"calicohinge/internal/endpoint"
	"calicohinge/internal/endpointjson"
)

// listPath is the path of the endpoint list at the discovery service.
const listPath = "/registry/instances"

// maxListBytes bounds the body of a response.
const maxListBytes = 8 << 20

// query is one query to the service.
type query struct {
	url      string
	complete bool   // it is for the complete list
	after    uint64 // otherwise for what is newer than this generation
}

// completeListQuery returns the query for the complete list.
func completeListQuery(address string) query {
	return query{url: "http://" + address + listPath, complete: true}
}

// watchQuery returns the query for what is newer than a generation. It is a long poll.
func watchQuery(address string, after uint64) query {
	return query{
		url: "http://" + address + listPath + "?after=" + strconv.FormatUint(after, 10) +
			"&wait_ms=" + strconv.FormatInt(watchWait.Milliseconds(), 10),
		after: after,
	}
}

// send sends a query and returns the list in the response. Its errors are of type *Error.
func (c *Client) send(ctx context.Context, query query) (endpoint.List, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, query.url, nil)
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
	return query.decode(body)
}

// decode reads a list from the body of a response.
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
