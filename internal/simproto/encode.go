package simproto

import (
	"bufio"
	"fmt"
	"time"

	"calicohinge/policy"
)

// actionCode is the protocol's code for the kind of an action record.
type actionCode uint8

const (
	actionCancel         actionCode = 65
	actionSend           actionCode = 66
	actionContext        actionCode = 68 // selects the instance of the actions that follow
	actionReject         actionCode = 71
	actionSetTimer       actionCode = 72
	actionFail           actionCode = 73
	actionWatchEndpoints actionCode = 75
	actionFatal          actionCode = 77
)

// Offsets of the fields in the header of a reply.
const (
	replyCountOffset    = 0
	replyBodySizeOffset = 4
	replyBatchOffset    = 8
)

// initialReplyCapacity is the initial capacity of Reply.frame in bytes, enough for a typical reply.
const initialReplyCapacity = 1 << 14

// Reply encodes the actions that answer one batch. It implements policy.Host for the selected
// instance. Reset must be called before the first use. A Reply is not safe for concurrent use.
type Reply struct {
	frame            []byte // space for the header, which WriteTo fills in, and the records
	tail             []byte
	count            uint32 // number of records
	selectedInstance uint16 // instance of the next action
	contextInstance  int    // instance of the last context record, or noInstance
}

var _ policy.Host = (*Reply)(nil)

// Reset discards the collected actions, so that a new reply can be filled.
func (r *Reply) Reset() {
	if r.frame == nil {
		r.frame = make([]byte, 0, initialReplyCapacity)
	}
	r.frame = r.frame[:replyHeaderSize]
	r.tail = r.tail[:0]
	r.count = 0
	r.contextInstance = noInstance
}

// SelectInstance sets the instance to which the following actions belong.
func (r *Reply) SelectInstance(instance uint16) { r.selectedInstance = instance }

// appendAction appends an action record. If the instance has changed, it appends a context record first.
func (r *Reply) appendAction(code actionCode) record {
	if r.contextInstance != int(r.selectedInstance) {
		r.contextInstance = int(r.selectedInstance)
		r.appendRecord(actionContext).putUint16(instanceOffset, r.selectedInstance)
	}
	return r.appendRecord(code)
}

// appendRecord appends a record in which only the code is set. The returned record is valid
// until the next record is appended.
func (r *Reply) appendRecord(code actionCode) record {
	var emptyRecord [actionSize]byte
	r.frame = append(r.frame, emptyRecord[:]...)
	r.count++
	rec := record(r.frame[len(r.frame)-actionSize:])
	rec[codeOffset] = byte(code)
	return rec
}

// appendRequestAction appends an action record about a request.
func (r *Reply) appendRequestAction(code actionCode, id policy.RequestID) record {
	rec := r.appendAction(code)
	rec.putRequestID(id)
	return rec
}

// Send implements policy.Host.
func (r *Reply) Send(id policy.RequestID, server policy.ServerID, timeout time.Duration) {
	const (
		serverOffset  = 5
		timeoutOffset = 11
	)
	rec := r.appendRequestAction(actionSend, id)
	rec.putServerID(serverOffset, server)
	rec.putDuration(timeoutOffset, timeout)
}

// Cancel implements policy.Host.
func (r *Reply) Cancel(id policy.RequestID, attempt int) {
	const attemptOffset = 5
	r.appendRequestAction(actionCancel, id).putUint16(attemptOffset, uint16(attempt))
}

// Reject implements policy.Host.
func (r *Reply) Reject(id policy.RequestID, retryAfter time.Duration) {
	const retryAfterOffset = 5
	r.appendRequestAction(actionReject, id).putDuration(retryAfterOffset, retryAfter)
}

// Fail implements policy.Host.
func (r *Reply) Fail(id policy.RequestID) { r.appendRequestAction(actionFail, id) }

// SetTimer implements policy.Host.
func (r *Reply) SetTimer(at time.Duration, token uint64) {
	const (
		timeOffset  = 1
		tokenOffset = 9
	)
	rec := r.appendAction(actionSetTimer)
	rec.putDuration(timeOffset, at)
	rec.putUint64(tokenOffset, token)
}

// WatchEndpoints implements policy.Host.
func (r *Reply) WatchEndpoints() {
	const (
		subscribeOffset = 1
		subscribe       = 1 // subscribes to the endpoint list; 0 unsubscribes
	)
	r.appendAction(actionWatchEndpoints)[subscribeOffset] = subscribe
}

// SetSyncState implements policy.Host. Nodes of the simulator are ready from their start.
func (r *Reply) SetSyncState(policy.SyncState) {}

// Fatal appends an action that ends the simulation with an error text.
func (r *Reply) Fatal(text string) {
	const (
		textReferenceOffset = 1
		textSizeOffset      = 5
	)
	rec := r.appendAction(actionFatal)
	rec.putUint32(textReferenceOffset, uint32(len(r.tail)))
	rec.putUint32(textSizeOffset, uint32(len(text)))
	r.tail = append(r.tail, text...)
}

// WriteTo writes the reply to the given batch and flushes the writer.
func (r *Reply) WriteTo(w *bufio.Writer, batch uint32) error {
	header := record(r.frame[:replyHeaderSize])
	header.putUint32(replyCountOffset, r.count)
	header.putUint32(replyBodySizeOffset, uint32(len(r.frame)-replyHeaderSize+len(r.tail)))
	header.putUint32(replyBatchOffset, batch)
	// The errors are ignored: after a failed write, Flush returns the error.
	_, _ = w.Write(r.frame)
	_, _ = w.Write(r.tail)
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write reply to batch %d: %w", batch, err)
	}
	return nil
}
