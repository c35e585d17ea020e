// Package simproto decodes and encodes the frames of the simulator's binary protocol: batches
// of event records from the simulator and replies of action records to it. Frames are
// big-endian. They have a header, records of a fixed size, and a tail for data of any size.
//
// It translates between records and the types of package policy, makes no decisions and keeps
// no state between batches but its buffers. The protocol's names and codes occur only here.
// cmd/simadapter is its only caller: it reads a Batch, decodes each Event, and fills one Reply.
// Any input may be malformed, which Reader.Read and Batch.Event report as a *FormatError.
package simproto

// The sizes of a frame's parts, in bytes.
const (
	batchHeaderSize = 20
	replyHeaderSize = 12
	eventSize       = 48
	actionSize      = 24
	endpointSize    = 25
	maxBodySize     = 1 << 30 // a longer body is taken for a malformed header
)

// noInstance stands for no instance. The numbers of instances have 16 bits.
const noInstance = -1
