package simproto

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"
)

const (
	// readBufferSize is the size of the input buffer in bytes.
	readBufferSize = 1 << 16
	// bodyChunkSize is the number of bytes by which the body buffer grows ahead of the input.
	// Growing it step by step ties memory use to the bytes that arrive, and not to the size
	// that a malformed header claims.
	bodyChunkSize = 1 << 20
)

// Offsets of the fields in the header of a batch.
const (
	batchBodySizeOffset = 0
	batchTimeOffset     = 4
	batchCountOffset    = 12
	batchNumberOffset   = 16
)

// Batch is a frame of event records. It is valid until the next call of Reader.Read.
type Batch struct {
	Now    time.Duration // simulated time of all events in the batch
	Number uint32        // sequence number, repeated in the reply
	Count  int           // number of event records

	records []byte
	tail    []byte
}

// Reader reads batches. It is not safe for concurrent use.
type Reader struct {
	in     *bufio.Reader
	header [batchHeaderSize]byte
	body   []byte
	batch  Batch
}

// NewReader returns a Reader that reads batches from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, readBufferSize)}
}

// Read returns the next batch. It returns io.EOF if the input ends between batches, and a
// *FormatError if the input ends within a batch, cannot be read or is malformed.
func (r *Reader) Read() (*Batch, error) {
	if n, err := io.ReadFull(r.in, r.header[:]); err != nil {
		if n == 0 && errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, r.formatError(fmt.Errorf("read header of the next batch: %w", err))
	}
	header := record(r.header[:])
	size, count := header.uint32(batchBodySizeOffset), header.uint32(batchCountOffset)
	r.batch.Number = header.uint32(batchNumberOffset)
	if size > maxBodySize || uint64(count)*eventSize > uint64(size) {
		return nil, r.formatError(fmt.Errorf("header claims %d records in a body of %d bytes", count, size))
	}
	if err := r.readBody(int(size)); err != nil {
		return nil, r.formatError(fmt.Errorf("read body: %w", err))
	}
	now, err := header.duration(batchTimeOffset, "batch time")
	if err != nil {
		return nil, r.formatError(err)
	}
	r.batch.Now = now
	r.batch.Count = int(count)
	r.batch.records = r.body[:int(count)*eventSize]
	r.batch.tail = r.body[int(count)*eventSize:]
	return &r.batch, nil
}

// formatError returns a *FormatError about the current frame as a whole.
func (r *Reader) formatError(cause error) error {
	return &FormatError{Batch: r.batch.Number, Record: WholeFrame, Err: cause}
}

// readBody replaces the content of r.body with the next size bytes of the input.
func (r *Reader) readBody(size int) error {
	r.body = r.body[:0]
	for len(r.body) < size {
		start := len(r.body)
		end := min(size, start+bodyChunkSize)
		if cap(r.body) < end {
			r.body = append(r.body, make([]byte, end-start)...)
		}
		r.body = r.body[:end]
		if _, err := io.ReadFull(r.in, r.body[start:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}
