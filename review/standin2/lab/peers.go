package lab

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Serve plays a server that answers one request after another on each connection. answer gets the time at which the
// first byte of the request came, and returns the bytes to write, or nil to close the connection.
func (c *Case) Serve(listener net.Listener, answer func(r *http.Request, body []byte, firstByte time.Time) []byte) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go c.serveConn(conn, answer)
	}
}

func (c *Case) serveConn(conn net.Conn, answer func(r *http.Request, body []byte, firstByte time.Time) []byte) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		firstByte := time.Now()
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		c.Log("server %s: ran %s", listenAddr(conn), request.Header.Get("X-Request-ID"))
		text := answer(request, body, firstByte)
		if text == nil {
			return
		}
		if _, err := conn.Write(text); err != nil {
			return
		}
	}
}

func listenAddr(conn net.Conn) string { return conn.LocalAddr().String() }

// Answer returns a response with status 200.
func Answer(body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Request returns the text of a client's request.
func Request(method, path, id string, timeout time.Duration, body string) string {
	length := ""
	if method != http.MethodGet {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Tenant-Id: coral-coast\r\n"+
		"X-Timeout-Ms: %d\r\n%s\r\n%s", method, path, id, timeout.Milliseconds(), length, body)
}

// Reply is what a client got for a request.
type Reply struct {
	Status int
	Body   string
	Took   time.Duration // from the last byte of the request to the last byte of the answer, or to the end
	Close  bool          // the node closes the connection after the answer
	Err    error         // the connection ended without a whole answer, or the patience was over
}

// Exchange writes a request on a connection and reads its answer, for at most the given patience. It logs both under id.
func (c *Case) Exchange(conn net.Conn, reader *bufio.Reader, id, text string, patience time.Duration) Reply {
	line, _, _ := strings.Cut(text, "\r\n")
	c.Log("client: sends %s, %s", id, line)
	reply := exchange(conn, reader, text, patience)
	c.Log("client: %s: status %d after %.1f ms, error %v", id, reply.Status, reply.Took.Seconds()*1000, reply.Err)
	return reply
}

func exchange(conn net.Conn, reader *bufio.Reader, text string, patience time.Duration) Reply {
	if _, err := io.WriteString(conn, text); err != nil {
		return Reply{Err: err}
	}
	sent := time.Now()
	_ = conn.SetReadDeadline(sent.Add(patience))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return Reply{Took: time.Since(sent), Err: err}
	}
	body, err := io.ReadAll(response.Body)
	return Reply{Status: response.StatusCode, Body: string(body), Took: time.Since(sent), Close: response.Close, Err: err}
}

// IsTimeout reports whether the patience of a client was over.
func IsTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
