package simproto

import (
	"errors"
	"fmt"
)

// ErrFormat is wrapped by every error about a malformed frame, see FormatError.
var ErrFormat = errors.New("malformed frame")

// WholeFrame is the Record of a FormatError that does not concern a single record.
const WholeFrame = -1

// FormatError reports a malformed frame or record. It wraps ErrFormat and the cause.
type FormatError struct {
	Batch  uint32 // number of the batch
	Record int    // index of the record in the batch, from 0, or WholeFrame
	Err    error  // the cause
}

// Error names the batch, the record if there is one, and the cause, in one line.
func (e *FormatError) Error() string {
	if e.Record == WholeFrame {
		return fmt.Sprintf("%v: batch %d: %v", ErrFormat, e.Batch, e.Err)
	}
	return fmt.Sprintf("%v: batch %d, record %d: %v", ErrFormat, e.Batch, e.Record, e.Err)
}

// Unwrap returns ErrFormat and the cause.
func (e *FormatError) Unwrap() []error { return []error{ErrFormat, e.Err} }
