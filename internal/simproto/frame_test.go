package simproto

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"math"
	"strings"
	"testing"
)

// decodeHex reads hexadecimal digits; spaces are ignored.
func decodeHex(tb testing.TB, text string) []byte {
	tb.Helper()
	raw, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
	if err != nil {
		tb.Fatal(err)
	}
	return raw
}

// paddedRecord returns a record of a size that begins with the given bytes, in hexadecimal digits.
func paddedRecord(tb testing.TB, size int, text string) []byte {
	tb.Helper()
	raw := decodeHex(tb, text)
	return append(raw, make([]byte, size-len(raw))...)
}

func eventRecord(tb testing.TB, text string) []byte {
	tb.Helper()
	return paddedRecord(tb, eventSize, text)
}

// frame builds batch 12, whose clock is 8,500 ms.
func frame(count int, records, tail []byte) []byte {
	header := make([]byte, batchHeaderSize)
	binary.BigEndian.PutUint32(header[0:], uint32(len(records)+len(tail)))
	binary.BigEndian.PutUint64(header[4:], math.Float64bits(8500))
	binary.BigEndian.PutUint32(header[12:], uint32(count))
	binary.BigEndian.PutUint32(header[16:], 12)
	return append(append(header, records...), tail...)
}

func join(parts ...[]byte) []byte { return bytes.Join(parts, nil) }

// decodeAll decodes batches until the first error, which is io.EOF at the end of the input.
func decodeAll(raw []byte) ([]Event, error) {
	reader := NewReader(bytes.NewReader(raw))
	var events []Event
	for {
		batch, err := reader.Read()
		if err != nil {
			return events, err
		}
		for i := range batch.Count {
			var event Event
			if err := batch.Event(i, &event); err != nil {
				return events, err
			}
			events = append(events, event)
		}
	}
}
