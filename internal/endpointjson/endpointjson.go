// Package endpointjson defines the JSON form of the endpoint list and translates it into the types of package
// endpoint. The discovery service publishes the list in this form, and a node's configuration file may contain
// a list. No other package depends on the JSON names. Packages config and discovery use the package; the fake
// discovery services of packages testkit and soak use it for tests. It keeps no state.
package endpointjson

import (
	"math"
	"time"

	"calicohinge/internal/endpoint"
	"calicohinge/policy"
)

// List is an endpoint list in its JSON form.
type List struct {
	Generation uint64     `json:"generation"`
	Reset      bool       `json:"reset"` // whether the list is a snapshot
	Endpoints  []Endpoint `json:"instances"`
}

// Endpoint is the entry of one server in a list.
type Endpoint struct {
	InstanceID       string  `json:"instanceId"`
	Address          string  `json:"hostPort"`
	Zone             string  `json:"zone"`
	Cell             int     `json:"cell"`
	Lifecycle        string  `json:"lifecycle"`
	Weight           float64 `json:"weight"`
	StartedUnixMilli float64 `json:"startedAtMs"` // milliseconds since the Unix epoch; 0 or less means long ago
}

// Values of Endpoint.Lifecycle. Any other value means draining.
const (
	lifecycleReady = "Ready"
	lifecycleGone  = "Gone"
)

// Translate converts the list to an endpoint.List.
func (l *List) Translate() endpoint.List {
	return endpoint.List{Generation: l.Generation, Snapshot: l.Reset, Endpoints: TranslateAll(l.Endpoints)}
}

// TranslateAll converts a slice of endpoints.
func TranslateAll(endpoints []Endpoint) []endpoint.Endpoint {
	translated := make([]endpoint.Endpoint, len(endpoints))
	for i := range endpoints {
		translated[i] = endpoints[i].Translate()
	}
	return translated
}

// Translate converts the entry to an endpoint.Endpoint.
func (e *Endpoint) Translate() endpoint.Endpoint {
	return endpoint.Endpoint{
		ID:        endpoint.ServerID(e.InstanceID),
		Address:   e.Address,
		Zone:      e.Zone,
		Cell:      e.Cell,
		State:     stateOf(e.Lifecycle),
		Weight:    e.Weight,
		StartedAt: startTime(e.StartedUnixMilli),
	}
}

// stateOf translates a lifecycle value. It treats an unknown value as draining, so that the server gets no new
// requests.
func stateOf(lifecycle string) policy.EndpointState {
	switch lifecycle {
	case lifecycleReady:
		return policy.EndpointReady
	case lifecycleGone:
		return policy.EndpointRemoved
	}
	return policy.EndpointDraining
}

// startTime converts a Unix time in milliseconds, rounding to the nanosecond. It returns the zero time for values
// up to 0, and limits values to math.MaxInt64 milliseconds.
func startTime(unixMilli float64) time.Time {
	if unixMilli <= 0 {
		return time.Time{}
	}
	if unixMilli >= math.MaxInt64 {
		return time.UnixMilli(math.MaxInt64)
	}
	whole, fraction := math.Modf(unixMilli)
	return time.UnixMilli(int64(whole)).Add(time.Duration(math.Round(fraction * float64(time.Millisecond))))
}
