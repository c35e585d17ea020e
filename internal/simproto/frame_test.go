package simproto

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"math"
	"strings"
	"testing"
)

// decodeHex decodes hexadecimal digits and ignores spaces.
func decodeHex(tb testing.TB, text string) []byte {
	tb.Helper()
	raw, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
	if err != nil {
		tb.Fatal(err)
	}
	return raw
}

// paddedRecord returns a record that starts with the bytes in text, in hexadecimal, and ends in zeros.
func paddedRecord(tb testing.TB, size int, text string) []byte {
	tb.Helper()
	raw := decodeHex(tb, text)
	return append(raw, make([]byte, size-len(raw))...)
}

// eventRecord returns an event record that starts with the bytes in text, in hexadecimal.
func eventRecord(tb testing.TB, text string) []byte {
	tb.Helper()
	return paddedRecord(tb, eventSize, text)
}

// frame returns a frame with batch 12, whose clock is at 8,500 ms. The header of the frame claims count records.
func frame(count int, records, tail []byte) []byte {
	header := make([]byte, batchHeaderSize)
	binary.BigEndian.PutUint32(header[0:], uint32(len(records)+len(tail)))
	binary.BigEndian.PutUint64(header[4:], math.Float64bits(8500))
	binary.BigEndian.PutUint32(header[12:], uint32(count))
	binary.BigEndian.PutUint32(header[16:], 12)
	return append(append(header, records...), tail...)
}

func join(parts ...[]byte) []byte { return bytes.Join(parts, nil) }

// decodeAll decodes batches until the first error. It returns the decoded events and that error, which is io.EOF if the
// input ends after a complete batch.
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
