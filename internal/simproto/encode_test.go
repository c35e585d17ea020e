package simproto

import (
	"bufio"
	"bytes"
	"errors"
	"testing"
	"time"

	"calicohinge/policy"
)

// expectReplyBytes fails the test unless the reply to the batch is encoded as the given bytes.
func expectReplyBytes(t *testing.T, reply *Reply, batch uint32, want []byte) {
	t.Helper()
	var out bytes.Buffer
	if err := reply.WriteTo(bufio.NewWriter(&out), batch); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(out.Bytes(), want) {
		t.Fatalf("encoded reply:\n%x\nwant:\n%x", out.Bytes(), want)
	}
}

func TestReplyEncodesActions(t *testing.T) {
	var reply Reply
	reply.Reset()
	const server = policy.ServerID(0x0a124a071f93)
	reply.SelectInstance(3)
	reply.Send(0x5d3a91c4, server, 80*time.Millisecond)
	reply.SetTimer(8400*time.Millisecond, 0x4d)
	reply.Cancel(0x5d3a91c4, 1)
	reply.SelectInstance(5)
	reply.Reject(0x0e6f2b19, 250*time.Millisecond)
	reply.Fail(7)
	reply.WatchEndpoints()
	reply.Fatal("broken")
	action := func(text string) []byte { return paddedRecord(t, actionSize, text) }
	want := join(decodeHex(t, "00000009 000000de 0000000c"),
		action("44 0003"), action("42 5d3a91c4 0a124a07 1f93 4054000000000000"),
		action("48 40c0680000000000 000000000000004d"),
		action("41 5d3a91c4 0001"), action("44 0005"), action("47 0e6f2b19 406f400000000000"), action("49 00000007"),
		action("4b 01"), action("4d 00000000 00000006"), []byte("broken"))
	expectReplyBytes(t, &reply, 12, want)
}

func TestResetDiscardsThePreviousReply(t *testing.T) {
	var reply Reply
	reply.Reset()
	reply.SelectInstance(3)
	reply.Fatal("broken")
	reply.Reset()
	reply.Fail(7)
	want := join(decodeHex(t, "00000002 00000030 0000000d"),
		paddedRecord(t, actionSize, "44 0003"), paddedRecord(t, actionSize, "49 00000007"))
	expectReplyBytes(t, &reply, 13, want)
}

var errBrokenPipe = errors.New("broken pipe")

// failingWriter fails every write.
type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errBrokenPipe }

func TestWriteToReturnsWriterError(t *testing.T) {
	for name, size := range map[string]int{"error at the flush": 4096, "error at the first write": 16} {
		var reply Reply
		reply.Reset()
		reply.Fail(7)
		if err := reply.WriteTo(bufio.NewWriterSize(failingWriter{}, size), 12); !errors.Is(err, errBrokenPipe) {
			t.Errorf("WriteTo with an %s: got %v, want an error that wraps %v", name, err, errBrokenPipe)
		}
	}
}
