package simproto

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"calicohinge/internal/milliseconds"
	"calicohinge/policy"
)

// serverIDPortBits is the number of low bits of a policy.ServerID that hold the port; the
// address is above them.
const serverIDPortBits = 16

// The positions of fields that several events and actions share.
const (
	codeOffset      = 0
	requestIDOffset = 1 // if the record concerns a request
	instanceOffset  = 1 // if the record selects an instance
)

// The sizes of parts of a value, in bytes.
const (
	addressSize    = 4 // of a server's address, which precedes its port
	tailOffsetSize = 4 // of an offset in the tail, which precedes the number of items
)

// record is the bytes of a header, an event, an action or an endpoint. Positions count from
// its first byte.
type record []byte

func (r record) uint16(offset int) uint16 { return binary.BigEndian.Uint16(r[offset:]) }
func (r record) uint32(offset int) uint32 { return binary.BigEndian.Uint32(r[offset:]) }
func (r record) uint64(offset int) uint64 { return binary.BigEndian.Uint64(r[offset:]) }

func (r record) float32(offset int) float64 { return float64(math.Float32frombits(r.uint32(offset))) }
func (r record) float64(offset int) float64 { return math.Float64frombits(r.uint64(offset)) }

// duration reads a time in milliseconds. If it is not a number or out of range, duration returns
// an error that names the field.
func (r record) duration(offset int, field string) (time.Duration, error) {
	value := r.float64(offset)
	duration, ok := milliseconds.ToDuration(value)
	if !ok {
		return 0, fmt.Errorf("%s %v", field, value)
	}
	return duration, nil
}

func (r record) requestID() policy.RequestID { return policy.RequestID(r.uint32(requestIDOffset)) }

// serverID reads four bytes of address and a port.
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
