// Package httphead measures the heads of HTTP messages while they are received, before a parser allocates memory for
// them. Package downstream uses it for requests, package upstream for responses. It keeps no data of a message and does
// not validate it.
package httphead

// MaxLines is the largest number of lines of a head that is accepted. A parser needs far more memory for a header field
// than the few bytes that it may have on the wire.
const MaxLines = 128

// MaxReadSize is the largest number of bytes to pass to a parser at once while it reads a head. The parser buffers what
// follows the head, and a scanner that is reset does not see it.
const MaxReadSize = 1 << 10

const (
	// parsedCopies is the number of copies of the bytes of a head that a node holds at the same time: the parsed head,
	// and the encoded heads of two attempts.
	parsedCopies = 3
	// lineOverhead is the size, in bytes, of the data structures for one header field, over all copies.
	lineOverhead = 400
)

// Scanner follows a head from its first byte to the empty line behind it. The zero value expects the first byte.
type Scanner struct {
	bytes, lines int
	lineEmpty    bool // whether the current line has no byte yet
	complete     bool
}

// Scan passes the next received bytes to the scanner. Bytes behind the head have no effect.
func (s *Scanner) Scan(received []byte) {
	for _, b := range received {
		switch {
		case s.complete:
			return
		case b == '\n':
			s.complete = s.lineEmpty
			s.lines++
			s.lineEmpty = true
		case b != '\r':
			s.lineEmpty = false
		}
		s.bytes++
	}
}

// Complete reports whether the head is complete.
func (s *Scanner) Complete() bool { return s.complete }

// SetComplete records that the head is complete, as the parser has found. A scanner that was reset in the middle of a
// head may have missed a part of its end.
func (s *Scanner) SetComplete() { s.complete = true }

// TooManyLines reports whether the head has more than MaxLines lines.
func (s *Scanner) TooManyLines() bool { return s.lines > MaxLines }

// Bytes returns the number of bytes of the head that have been received.
func (s *Scanner) Bytes() int { return s.bytes }

// Memory returns an upper bound of the memory that a node holds for the head and for the attempts that forward it.
func (s *Scanner) Memory() int { return parsedCopies*s.bytes + lineOverhead*s.lines }
