package simproto

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// malformedFrames returns malformed frames by the names of their faults.
func malformedFrames(tb testing.TB) map[string][]byte {
	tb.Helper()
	return map[string][]byte{
		"truncated header":           frame(0, nil, nil)[:7],
		"truncated body":             frame(1, eventRecord(tb, "0b 0003"), nil)[:40],
		"body larger than the limit": overwrite(frame(0, nil, nil), 0, 0xff),
		"body longer than the input": overwrite(frame(0, nil, nil), 0, 0x30),
		"more records than bytes":    frame(9, eventRecord(tb, "0b 0003"), nil),
		"unknown event":              frame(1, eventRecord(tb, "63"), nil),
		"settings outside the tail":  frame(1, eventRecord(tb, "01 0000000000000001 00000000 00000009"), []byte("{}")),
		"endpoints outside the tail": frame(1, eventRecord(tb, "02 01 0000000000000001 fffffff0 ffffffff"), nil),
		"unknown kind of update":     frame(1, eventRecord(tb, "02 09"), nil),
		"unknown status":             frame(1, eventRecord(tb, "05 5d3a91c4 0001"), nil),
		"latency not a number": frame(1,
			eventRecord(tb, "05 5d3a91c4 00c8 01 0a124a07 1f93 0000 7ff8000000000001"), nil),
		"timeout not finite":       frame(1, eventRecord(tb, "03 5d3a91c4 00 0000 91f03b7c55d20a64 7ff0000000000000"), nil),
		"message outside the tail": frame(1, eventRecord(tb, "09 00000002 00000000 00000004"), nil),
		"clock not a number":       overwrite(frame(0, nil, nil), 4, 0x7f, 0xf8),
		"unknown server state": frame(1, eventRecord(tb, "02 01 0000000000000001 00000000 00000001"),
			decodeHex(tb, "0a124a07 1f93 0000 0000 0000 07 3f800000 0000000000000000")),
		"weight not a number": frame(1, eventRecord(tb, "02 01 0000000000000001 00000000 00000001"),
			decodeHex(tb, "0a124a07 1f93 0000 0000 0000 01 7fc00000 0000000000000000")),
	}
}

// overwrite replaces bytes of a frame, starting at an offset, and returns the frame.
func overwrite(frame []byte, offset int, other ...byte) []byte {
	copy(frame[offset:], other)
	return frame
}

func TestMalformedFrameErrorIsOneLineThatNamesTheBatch(t *testing.T) {
	for name, raw := range malformedFrames(t) {
		t.Run(name, func(t *testing.T) {
			_, err := decodeAll(raw)
			if !errors.Is(err, ErrFormat) || !strings.Contains(err.Error(), "batch") || strings.Contains(err.Error(), "\n") {
				t.Fatalf("decodeAll: got error %q, want one line that wraps ErrFormat and names the batch", err)
			}
		})
	}
}

func TestFormatErrorNamesBatchRecordAndCause(t *testing.T) {
	timer := eventRecord(t, "07 000000000000004d")
	for _, test := range []struct {
		raw    []byte
		batch  uint32
		record int
		text   string
		cause  error
	}{
		{frame(0, nil, nil)[:7], 0, WholeFrame,
			"malformed frame: batch 0: read header of the next batch: unexpected EOF", io.ErrUnexpectedEOF},
		{join(frame(0, nil, nil), []byte{0}), 12, WholeFrame,
			"malformed frame: batch 12: read header of the next batch: unexpected EOF", io.ErrUnexpectedEOF},
		{frame(1, timer, nil)[:20], 12, WholeFrame,
			"malformed frame: batch 12: read body: unexpected EOF", io.ErrUnexpectedEOF},
		{frame(9, timer, nil), 12, WholeFrame,
			"malformed frame: batch 12: header claims 9 records in a body of 48 bytes", nil},
		{frame(2, join(timer, eventRecord(t, "63")), nil), 12, 1,
			"malformed frame: batch 12, record 1: unknown event code 99", nil},
		{frame(1, eventRecord(t, "05 5d3a91c4 0001"), nil), 12, 0,
			"malformed frame: batch 12, record 0: unknown status: 1", nil},
	} {
		_, err := decodeAll(test.raw)
		formatError, ok := errors.AsType[*FormatError](err)
		if !ok || formatError.Batch != test.batch || formatError.Record != test.record {
			t.Errorf("decodeAll: got error %v, want a *FormatError for batch %d, record %d", err, test.batch, test.record)
			continue
		}
		if err.Error() != test.text || test.cause != nil && !errors.Is(err, test.cause) {
			t.Errorf("decodeAll: got error %q, want %q with the cause %v", err, test.text, test.cause)
		}
	}
}

func FuzzDecode(f *testing.F) {
	for _, raw := range malformedFrames(f) {
		f.Add(raw)
	}
	f.Add(frame(2, join(eventRecord(f, "0b 0003"), eventRecord(f, "07 000000000000004d")), nil))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if _, err := decodeAll(raw); err == nil {
			t.Fatal("decoding of a finite input ended without an error, want io.EOF or a *FormatError")
		}
	})
}
