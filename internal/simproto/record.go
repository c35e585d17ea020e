package simproto

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"calicohinge/internal/milliseconds"
	"calicohinge/policy"
)

// serverIDPortBits is the width of the port in a policy.ServerID. The port is in the low bits,
// the address is above it.
const serverIDPortBits = 16

// Offsets of the fields that several kinds of event and action have in common.
const (
	codeOffset      = 0
	requestIDOffset = 1 // offset of the request ID in records about a request
	instanceOffset  = 1 // offset of the instance number in records that select an instance
)

// Sizes of the parts of a value, in bytes.
const (
	addressSize    = 4 // size of a server's address, which is followed by the port
	tailOffsetSize = 4 // size of an offset in the tail, which is followed by the number of items
)

// record holds the bytes of a header, an event, an action or an endpoint. Field offsets count
// from its first byte.
type record []byte

func (r record) uint16(offset int) uint16 { return binary.BigEndian.Uint16(r[offset:]) }
func (r record) uint32(offset int) uint32 { return binary.BigEndian.Uint32(r[offset:]) }
func (r record) uint64(offset int) uint64 { return binary.BigEndian.Uint64(r[offset:]) }

func (r record) float32(offset int) float64 { return float64(math.Float32frombits(r.uint32(offset))) }
func (r record) float64(offset int) float64 { return math.Float64frombits(r.uint64(offset)) }

// duration reads a time in milliseconds. It returns an error that names the field if the value is
// NaN or out of range.
func (r record) duration(offset int, field string) (time.Duration, error) {
	value := r.float64(offset)
	duration, ok := milliseconds.ToDuration(value)
	if !ok {
		return 0, fmt.Errorf("%s is %v ms, must be a time of less than 73 years", field, value)
	}
	return duration, nil
}

func (r record) requestID() policy.RequestID { return policy.RequestID(r.uint32(requestIDOffset)) }

// serverID reads a four-byte address and the port that follows it.
func (r record) serverID(offset int) policy.ServerID {
	return policy.ServerID(r.uint32(offset))<<serverIDPortBits | policy.ServerID(r.uint16(offset+addressSize))
}

func (r record) putUint16(offset int, value uint16) { binary.BigEndian.PutUint16(r[offset:], value) }
func (r record) putUint32(offset int, value uint32) { binary.BigEndian.PutUint32(r[offset:], value) }
func (r record) putUint64(offset int, value uint64) { binary.BigEndian.PutUint64(r[offset:], value) }

func (r record) putDuration(offset int, value time.Duration) {
	r.putUint64(offset, math.Float64bits(milliseconds.FromDuration(value)))
}

func (r record) putRequestID(id policy.RequestID) { r.putUint32(requestIDOffset, uint32(id)) }

func (r record) putServerID(offset int, server policy.ServerID) {
	r.putUint32(offset, uint32(server>>serverIDPortBits))
	r.putUint16(offset+addressSize, uint16(server))
}
