package wireformat

import "strconv"

// forwardedRequest is a request that the node forwards: as the client sends it, and as the node sends it to a
// server. LEFT stands for the remaining timeout in milliseconds.
type forwardedRequest struct{ name, request, forwarded string }

// forwardedResponse is the server's response to each of the forwardedRequests, as the node sends it to the client.
const forwardedResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Type: text/x\r\nX-Server: s-1\r\n" +
	"Date: DATE\r\n\r\nok"

func forwardedRequests() []forwardedRequest {
	return []forwardedRequest{
		{
			"idempotent",
			"GET /read/a/b?q=1&r=%20 HTTP/1.1\r\nHost: n\r\nX-Request-ID: r1\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 8000\r\n" +
				"X-Cost: 1500\r\nX-Other: kept\r\nConnection: x-hop\r\nX-Hop: dropped\r\nAccept: */*\r\n\r\n",
			"GET /read/a/b?q=1&r=%20 HTTP/1.1\r\nHost: n\r\nAccept: */*\r\nX-Cost: 1500\r\nX-Other: kept\r\n" +
				"X-Request-Id: r1\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: LEFT\r\n\r\n",
		},
		{
			"idempotent with a key",
			"POST /order HTTP/1.1\r\nHost: n\r\nX-Request-ID: r2\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 9000\r\n" +
				"Idempotency-Key: k1\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nhello",
			"POST /order HTTP/1.1\r\nHost: n\r\nContent-Length: 5\r\nContent-Type: text/plain\r\nIdempotency-Key: k1\r\n" +
				"X-Request-Id: r2\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: LEFT\r\n\r\nhello",
		},
		{
			"not idempotent",
			"POST /notify HTTP/1.1\r\nHost: n\r\nX-Request-ID: r3\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 8000\r\n" +
				"Content-Length: 0\r\n\r\n",
			"POST /notify HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\nX-Request-Id: r3\r\nX-Tenant-Id: acme\r\n" +
				"X-Timeout-Ms: LEFT\r\n\r\n",
		},
	}
}

// localRequest is a request to which the node responds without a server.
type localRequest struct{ name, request, response string }

// textResponse returns a response with a one-line body. The given headers precede the headers that all such responses
// have.
func textResponse(status, headers, line string) string {
	return status + "\r\n" + headers + "Content-Length: " + strconv.Itoa(len(line)+1) +
		"\r\nContent-Type: text/plain; charset=utf-8\r\nX-Content-Type-Options: nosniff\r\nDate: DATE\r\n\r\n" + line + "\n"
}

func localRequests() []localRequest {
	const (
		requiredHeaders = "Host: n\r\nX-Request-ID: r9\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 8000\r\n"
		badRequest      = "HTTP/1.1 400 Bad Request"
		connectionClose = "Connection: close\r\n"
	)
	return []localRequest{
		{
			"health check", "GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n",
			textResponse("HTTP/1.1 200 OK", "", "ready"),
		}, {
			"unknown class", "GET /none HTTP/1.1\r\n" + requiredHeaders + "\r\n",
			textResponse("HTTP/1.1 404 Not Found", "", "unknown class"),
		}, {
			"no request ID", "GET /read HTTP/1.1\r\nHost: n\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 8000\r\n\r\n",
			textResponse(badRequest, "", "X-Request-ID is missing or malformed"),
		}, {
			"no tenant", "GET /read HTTP/1.1\r\nHost: n\r\nX-Request-ID: r9\r\nX-Timeout-Ms: 8000\r\n\r\n",
			textResponse(badRequest, "", "X-Tenant-Id is missing or unknown"),
		}, {
			"no timeout", "GET /read HTTP/1.1\r\nHost: n\r\nX-Request-ID: r9\r\nX-Tenant-Id: acme\r\n\r\n",
			textResponse(badRequest, "", "X-Timeout-Ms is missing or no whole number of milliseconds"),
		}, {
			"wrong method", "POST /read HTTP/1.1\r\n" + requiredHeaders + "Content-Length: 0\r\n\r\n",
			textResponse("HTTP/1.1 405 Method Not Allowed", "Allow: GET\r\n", "the class wants GET"),
		}, {
			"body with GET", "GET /read HTTP/1.1\r\n" + requiredHeaders + "Content-Length: 1\r\n\r\nx",
			textResponse(badRequest, connectionClose, "the class takes no body"),
		}, {
			"no key", "POST /order HTTP/1.1\r\n" + requiredHeaders + "Content-Length: 0\r\n\r\n",
			textResponse(badRequest, "", "Idempotency-Key is missing"),
		}, {
			"key not permitted",
			"POST /notify HTTP/1.1\r\n" + requiredHeaders + "Idempotency-Key: k\r\nContent-Length: 0\r\n\r\n",
			textResponse(badRequest, "", "the class takes no Idempotency-Key"),
		}, {
			"no length", "POST /notify HTTP/1.1\r\n" + requiredHeaders + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			textResponse("HTTP/1.1 411 Length Required", connectionClose,
				"a Content-Length is required, with no transfer coding"),
		}, {
			"too large", "POST /notify HTTP/1.1\r\n" + requiredHeaders + "Content-Length: 65537\r\n\r\n",
			textResponse("HTTP/1.1 413 Request Entity Too Large", connectionClose, "the body is too large"),
		}, {
			"old version", "GET /read HTTP/1.0\r\n" + requiredHeaders + "\r\n",
			textResponse("HTTP/1.0 505 HTTP Version Not Supported", connectionClose, "HTTP/1.1 is required"),
		},
	}
}
