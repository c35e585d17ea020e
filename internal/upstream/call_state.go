package upstream

import "sync/atomic"

// callState is the state of a Call: whether its attempt was sent or revoked.
//
//	transition   from     to       made by
//	markSent     waiting  sent     Pool.Send, right before it writes the first byte
//	markRevoked  waiting  revoked  Call.Revoke, called by the owner of the attempt
//
// The state changes at most once. If both transitions are tried, only the first has an effect: a
// revoked attempt is never sent, and a sent attempt cannot be revoked.
type callState int32

// The states of a call.
const (
	callWaiting callState = iota // waiting for a connection; nothing has been written
	callSent                     // the first byte may have been written
	callRevoked                  // nothing has been or will be written
)

// atomicCallState is a callState that is safe for concurrent use. Its zero value is callWaiting.
type atomicCallState struct{ value atomic.Int32 }

// is reports whether the call is in the given state.
func (s *atomicCallState) is(state callState) bool { return s.value.Load() == int32(state) }

// markSent permits the first byte to be written. It returns false if the call was sent or revoked before.
func (s *atomicCallState) markSent() bool { return s.leaveWaiting(callSent) }

// markRevoked prevents the first byte from being written. It returns false if the call was sent or
// revoked before.
func (s *atomicCallState) markRevoked() bool { return s.leaveWaiting(callRevoked) }

// leaveWaiting changes the state from callWaiting to next. In any other state it returns false.
func (s *atomicCallState) leaveWaiting(next callState) bool {
	return s.value.CompareAndSwap(int32(callWaiting), int32(next))
}
