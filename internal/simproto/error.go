package simproto

import (
	"errors"
	"fmt"
)

// ErrFormat is wrapped by every FormatError.
var ErrFormat = errors.New("malformed frame")

// WholeFrame is the value of FormatError.Record if the error is not about a single record.
const WholeFrame = -1

// FormatError reports a malformed frame or record. It wraps both ErrFormat and its cause.
type FormatError struct {
	Batch  uint32 // sequence number of the batch
	Record int    // index of the record in the batch, from 0, or WholeFrame
	Err    error  // the cause
}

// Error returns one line with the batch, the record unless it is WholeFrame, and the cause.
func (e *FormatError) Error() string {
	if e.Record == WholeFrame {
		return fmt.Sprintf("%v: batch %d: %v", ErrFormat, e.Batch, e.Err)
	}
	return fmt.Sprintf("%v: batch %d, record %d: %v", ErrFormat, e.Batch, e.Record, e.Err)
}

// Unwrap returns ErrFormat and the cause.
func (e *FormatError) Unwrap() []error { return []error{ErrFormat, e.Err} }
