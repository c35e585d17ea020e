package simproto

import "calicohinge/policy"

// statusCode is the protocol's code for the status of an attempt that has ended.
type statusCode uint16

const (
	statusOK            statusCode = 200
	statusTimeout       statusCode = 408
	statusNotSent       statusCode = 409
	statusRejected      statusCode = 429
	statusCancelled     statusCode = 444
	statusServerError   statusCode = 502
	statusReset         statusCode = 520
	statusConnectFailed statusCode = 521
)

// policyStatus returns the policy.Status for the code, and false if the code is unknown.
func (c statusCode) policyStatus() (policy.Status, bool) {
	switch c {
	case statusOK:
		return policy.StatusOK, true
	case statusTimeout:
		return policy.StatusTimeout, true
	case statusNotSent:
		return policy.StatusNotSent, true
	case statusRejected:
		return policy.StatusRejected, true
	case statusCancelled:
		return policy.StatusCancelled, true
	case statusServerError:
		return policy.StatusServerError, true
	case statusReset:
		return policy.StatusReset, true
	case statusConnectFailed:
		return policy.StatusConnectFailed, true
	}
	return 0, false
}

// updateCode is the protocol's code for the kind of an endpoint list update.
type updateCode uint8

const (
	updateDelta       updateCode = 0
	updateSnapshot    updateCode = 1
	updateCached      updateCode = 2
	updateWatchFailed updateCode = 3 // not an update: a watch of the endpoint list has failed
)

// policyKind returns the policy.UpdateKind for the code, and false if the code is unknown or
// is updateWatchFailed, which is not an update.
func (c updateCode) policyKind() (policy.UpdateKind, bool) {
	switch c {
	case updateDelta:
		return policy.UpdateDelta, true
	case updateSnapshot:
		return policy.UpdateSnapshot, true
	case updateCached:
		return policy.UpdateCached, true
	case updateWatchFailed:
		return 0, false
	}
	return 0, false
}

// stateCode is the protocol's code for the state of a server.
type stateCode uint8

const (
	stateRemoved  stateCode = 0
	stateReady    stateCode = 1
	stateDraining stateCode = 2
)

// policyState returns the policy.EndpointState for the code, and false if the code is unknown.
func (c stateCode) policyState() (policy.EndpointState, bool) {
	switch c {
	case stateRemoved:
		return policy.EndpointRemoved, true
	case stateReady:
		return policy.EndpointReady, true
	case stateDraining:
		return policy.EndpointDraining, true
	}
	return 0, false
}
