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

// query is a query for the complete list, or for the changes after a generation.
type query struct {
	url      string
	snapshot bool   // for the complete list
	after    uint64 // the generation, if the query is not for the complete list
}

// snapshotQuery returns the query for the complete list.
func snapshotQuery(address string) query {
	return query{url: "http://" + address + listPath, snapshot: true}
}

// watchQuery returns the query for the changes after a generation. It is a long poll.
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
	defer func() { _ = response.Body.Close() }() // the body has been read, or its error is returned
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return endpoint.List{}, transportError(err)
	}
	if response.StatusCode != http.StatusOK {
		return endpoint.List{}, &Error{Kind: BadStatus, Status: response.StatusCode}
	}
	return query.decode(body)
}

// decode reads a list from the body of a response. The response to a query for the complete list is complete,
// whether or not it says so.
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
