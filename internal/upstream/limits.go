package upstream

import "errors"

const (
	maxBody             = 64 << 10         // bytes of a message's body
	maxResponse         = maxBody + 64<<10 // of a server's answer with head and framing
	maxInterimResponses = 8                // 1xx answers ahead of the real one
)

var (
	errResponseTooLarge = errors.New("answer too large")
	errNotHTTP          = errors.New("no HTTP answer")
)

const responsePrefix = "HTTP/1."

// Read bounds what a server may send for one request.
func (c *connection) Read(p []byte) (int, error) {
	if c.responseBudget <= 0 {
		return 0, errResponseTooLarge
	}
	n, err := c.Conn.Read(p[:min(len(p), c.responseBudget)])
	c.responseBudget -= n
	c.readErr = err
	return n, err
}
