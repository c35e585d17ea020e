package upstream

import (
	"bytes"
	"io"
)

// maxBodyWithHead is the size of the largest body, in bytes, that is copied behind the head, so that both are written at
// once. A larger body is written from the request's own memory, which all attempts share.
const maxBodyWithHead = 4 << 10

// headWriter keeps the head of a request that http.Request.Write writes to it, and discards the body. It implements
// io.ByteWriter, because http.Request.Write would buffer the head otherwise.
type headWriter struct {
	head     bytes.Buffer
	complete bool // whether the body has begun
}

// Write implements io.Writer.
func (w *headWriter) Write(p []byte) (int, error) {
	if w.complete {
		return len(p), nil
	}
	return w.head.Write(p)
}

// WriteByte implements io.ByteWriter.
func (w *headWriter) WriteByte(b byte) error {
	if w.complete {
		return nil
	}
	return w.head.WriteByte(b)
}

// announcedBody is the body of a request. It records when it is read for the first time: http.Request.Write has written
// the whole head then.
type announcedBody struct {
	reader  io.Reader
	started *bool
}

// Read implements io.Reader.
func (b *announcedBody) Read(p []byte) (int, error) {
	*b.started = true
	return b.reader.Read(p)
}

// Close implements io.Closer.
func (b *announcedBody) Close() error { return nil }
