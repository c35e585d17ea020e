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
	codeAt      = 0
	requestIDAt = 1 // if the record concerns a request
	instanceAt  = 1 // if the record selects an instance
)

// The sizes of parts of a value, in bytes.
const (
	addressSize = 4 // of a server's address, which precedes its port
	offsetSize  = 4 // of an offset in the tail, which precedes the number of items
)

// record is the bytes of a header, an event, an action or an endpoint. Positions count from
// its first byte.
type record []byte

func (r record) uint16(at int) uint16 { return binary.BigEndian.Uint16(r[at:]) }
func (r record) uint32(at int) uint32 { return binary.BigEndian.Uint32(r[at:]) }
func (r record) uint64(at int) uint64 { return binary.BigEndian.Uint64(r[at:]) }

func (r record) float32(at int) float64 { return float64(math.Float32frombits(r.uint32(at))) }
func (r record) float64(at int) float64 { return math.Float64frombits(r.uint64(at)) }

// duration reads a time in milliseconds. If it is not a number or out of range, duration returns
// an error that names the field.
func (r record) duration(at int, field string) (time.Duration, error) {
	value := r.float64(at)
	duration, ok := milliseconds.ToDuration(value)
	if !ok {
		return 0, fmt.Errorf("%s %v", field, value)
	}
	return duration, nil
}

func (r record) requestID() policy.RequestID { return policy.RequestID(r.uint32(requestIDAt)) }

// serverID reads four bytes of address and a port.
func (r record) serverID(at int) policy.ServerID {
	return policy.ServerID(r.uint32(at))<<serverIDPortBits | policy.ServerID(r.uint16(at+addressSize))
}

func (r record) putUint16(at int, value uint16) { binary.BigEndian.PutUint16(r[at:], value) }
func (r record) putUint32(at int, value uint32) { binary.BigEndian.PutUint32(r[at:], value) }
func (r record) putUint64(at int, value uint64) { binary.BigEndian.PutUint64(r[at:], value) }

func (r record) putDuration(at int, value time.Duration) {
	r.putUint64(at, math.Float64bits(milliseconds.FromDuration(value)))
}

func (r record) putRequestID(id policy.RequestID) { r.putUint32(requestIDAt, uint32(id)) }

func (r record) putServerID(at int, server policy.ServerID) {
	r.putUint32(at, uint32(server>>serverIDPortBits))
	r.putUint16(at+addressSize, uint16(server))
}
