package policy

import (
	"testing"
	"time"
)

// Guards against one tenant's surplus taking the capacity of the others.
func TestRequestOverQuotaWaitsBehindOthers(t *testing.T) {
	settings := testSettings()
	settings.Tenants = []Tenant{{QuotaPerS: 2}, {QuotaPerS: 100}}
	settings.OverQuotaFraction = 0.05
	h := newHarness(t, settings, 1)
	requestOf := func(tenant int) RequestID {
		h.lastID++
		h.balancer.Request(h.now, Request{ID: h.lastID, Tenant: tenant, Timeout: 2 * time.Second})
		return h.lastID
	}
	requestOf(0)
	requestOf(0)
	over, within := requestOf(0), requestOf(1)

	for id := RequestID(1); id < within; id++ {
		if id != over && len(h.attemptedServers(id)) > h.outcomesReported[id] {
			h.endAttempt(id, OK, 10*ms)
		}
	}

	if len(h.attemptedServers(over)) != 0 || len(h.attemptedServers(within)) != 1 {
		t.Fatal("a request over its tenant's quota was sent first")
	}
}

// Guards against counting every retry of a rejected client: in a retry storm all of a tenant's requests would
// be over its quota and lose most of their weight.
func TestRejectedRequestReturnsItsQuotaToken(t *testing.T) {
	h := newHarness(t, smallQuotaSettings(), 20)

	for range 30 {
		h.openAllBreakers()
		id := h.request(0)
		if _, rejected := h.host.rejected[id]; !rejected {
			t.Fatal("a request is not rejected though all breakers are open")
		}
	}

	if !h.balancer.quotas.buckets[0].Take(h.now) {
		t.Error("the tenant is over its quota after 30 rejected requests")
	}
}

func TestServedRequestUsesUpItsQuotaToken(t *testing.T) {
	h := newHarness(t, smallQuotaSettings(), 20)

	for range 30 {
		id := h.request(0)
		if _, rejected := h.host.rejected[id]; rejected {
			t.Fatal("a request is rejected though the servers have capacity")
		}
		h.endAttempt(id, OK, 0)
	}

	if h.balancer.quotas.buckets[0].Take(h.now) {
		t.Error("the tenant is within its quota after 30 served requests")
	}
}

// smallQuotaSettings has a tenant whose quota is 10 requests per second on this undersampled node.
func smallQuotaSettings() Settings {
	settings := testSettings()
	settings.Nodes = 80
	settings.Tenants = []Tenant{{QuotaPerS: 800}}
	settings.OverQuotaFraction = 0.2
	return settings
}
