// Package simproto implements the simulator's binary protocol. The simulator sends batches of
// event records and gets a reply with action records for each of them. Both kinds of frame are
// big-endian and consist of a header, records of a fixed size, and a tail that holds data of
// variable size.
//
// The package translates between records and the types of package policy. It makes no decisions
// and keeps no state between batches except its buffers. The protocol's record layouts and numeric
// codes are defined only here. The only caller is cmd/simadapter, which reads a Batch, decodes each
// Event and fills one Reply. Reader.Read and Batch.Event report malformed input as a *FormatError.
package simproto

// Sizes of the parts of a frame, in bytes.
const (
	batchHeaderSize = 20
	replyHeaderSize = 12
	eventSize       = 48
	actionSize      = 24
	endpointSize    = 25
	maxBodySize     = 1 << 30 // a header that claims a longer body is malformed
)

// noInstance is the value of Reply.contextInstance while the reply has no context record. It differs
// from every instance number, since these are unsigned 16-bit integers.
const noInstance = -1
