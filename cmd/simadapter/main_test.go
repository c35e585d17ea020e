package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"

	"calicohinge/internal/simproto"
)

const settings = `{"Classes": [{"DeadlineMs": 1000, "Effect": "pure"}], "Limits": {"MaxAttempts": 2}}`

// Sizes and codes of the protocol. They are repeated here instead of taken from package simproto,
// so that a wrong value there fails the tests.
const (
	replyHeaderSize = 12
	eventSize       = 48
	actionSize      = 24

	eventOpen      = uint8(1)
	eventEndpoints = uint8(2)
	eventRequest   = uint8(3)
	eventTimer     = uint8(7)
	eventStop      = uint8(10)
	eventInstance  = uint8(11)

	actionSend     = 66
	actionContext  = 68
	actionSetTimer = 72
	actionFatal    = 77
)

// testInstance is the number of the instance that the tests use.
const testInstance = uint16(4)

// encodeFields encodes consecutive fields in big-endian order.
func encodeFields(values ...any) []byte {
	var raw []byte
	for _, value := range values {
		var err error
		if raw, err = binary.Append(raw, binary.BigEndian, value); err != nil {
			panic(err) // the type has no fixed size
		}
	}
	return raw
}

// encodeEvent encodes an event record with the given fields, padded with zeros.
func encodeEvent(fields ...any) []byte {
	raw := encodeFields(fields...)
	return append(raw, make([]byte, eventSize-len(raw))...)
}

// encodeBatch encodes the records and the tail of batch 7, whose clock is at 5,000 ms.
func encodeBatch(tail string, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	header := encodeFields(uint32(len(body)+len(tail)), math.Float64bits(5000), uint32(len(records)), uint32(7))
	return append(append(header, body...), tail...)
}

// selectInstanceEvent encodes the event that selects testInstance for the events that follow.
func selectInstanceEvent() []byte { return encodeEvent(eventInstance, testInstance) }

// openInstanceEvent encodes the event that opens the selected instance with the settings at the start
// of the tail.
func openInstanceEvent(settings string) []byte {
	return encodeEvent(eventOpen, uint64(1), uint32(0), uint32(len(settings)))
}

// actionCodes returns the codes of the actions in all replies.
func actionCodes(t *testing.T, replies []byte) []byte {
	t.Helper()
	var codes []byte
	for len(replies) > 0 {
		count, size := binary.BigEndian.Uint32(replies), binary.BigEndian.Uint32(replies[4:])
		for i := range int(count) {
			codes = append(codes, replies[replyHeaderSize+actionSize*i])
		}
		replies = replies[replyHeaderSize+size:]
	}
	return codes
}

func TestRunRepliesToBatchesUntilTheInputEnds(t *testing.T) {
	// 10.0.0.1:8080 in zone 0 and cell 0, ready, with weight 1, warm
	endpoint := "\x0a\x00\x00\x01\x1f\x90" +
		"\x00\x00\x00\x00\x00\x00\x01\x3f\x80\x00\x00" + strings.Repeat("\x00", 8)
	in := bytes.Join([][]byte{
		encodeBatch(""),
		encodeBatch(settings, selectInstanceEvent(), openInstanceEvent(settings)),
		encodeBatch(endpoint, selectInstanceEvent(), encodeEvent(eventEndpoints, uint8(2), uint64(1), uint32(0), uint32(1)),
			encodeEvent(eventRequest, uint32(9), uint8(0), uint16(0), uint64(0), float64(800))),
	}, nil)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if got := actionCodes(t, out.Bytes()); !bytes.Equal(got, []byte{actionContext, actionSend, actionSetTimer}) {
		t.Fatalf("action codes of the replies: got %v, want those of context, send and set timer", got)
	}
}

func TestInvalidSettingsAreReportedAsFatalWithTheirKey(t *testing.T) {
	text := `{"Classes": [{"DeadlineMs": -5, "Effect": "pure"}]}`
	var out bytes.Buffer
	if err := run(bytes.NewReader(encodeBatch(text, selectInstanceEvent(), openInstanceEvent(text))), &out); err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(out.Bytes(), []byte("settings.Classes[0].DeadlineMs is -5")) ||
		!bytes.Contains(actionCodes(t, out.Bytes()), []byte{actionFatal}) {
		t.Fatalf("reply to invalid settings: got %q, want a fatal action that names the key and the value", out.Bytes())
	}
}

func TestRunRejectsEventsForInstancesThatAreNotOpen(t *testing.T) {
	for name, in := range map[string][]byte{
		"never opened": encodeBatch("", selectInstanceEvent(), encodeEvent(eventTimer, uint64(0))),
		"not selected": encodeBatch("", encodeEvent(eventTimer, uint64(0))),
		"stopped": encodeBatch(settings, selectInstanceEvent(), openInstanceEvent(settings), encodeEvent(eventStop),
			encodeEvent(eventTimer, uint64(0))),
	} {
		var out bytes.Buffer
		err := run(bytes.NewReader(in), &out)
		if err == nil || !strings.Contains(err.Error(), "batch 7, record") {
			t.Errorf("run() with an instance %s: got error %v, want one that names the batch and the record", name, err)
		}
	}
}

// handleEvent does not check that the instance is open, so the request causes a panic.
func TestPanicIsReportedAsFatal(t *testing.T) {
	a := newAdapter()
	a.reply.Reset()
	a.selectInstance(testInstance)
	a.handleEvent(&simproto.Batch{Number: 7}, &simproto.Event{Code: simproto.EventRequest})
	var out bytes.Buffer
	if err := a.reply.WriteTo(bufio.NewWriter(&out), 7); err != nil {
		t.Fatal(err)
	}
	if got := actionCodes(t, out.Bytes()); !bytes.Equal(got, []byte{actionContext, actionFatal}) ||
		!bytes.Contains(out.Bytes(), []byte("panic")) {
		t.Fatalf("reply after a panic: got %q with action codes %v, want context, fatal and the text of the panic",
			out.Bytes(), got)
	}
}
