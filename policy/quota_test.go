package policy

import (
	"testing"
	"time"
)

// Guards against a tenant whose requests over its quota take the capacity of other tenants.
func TestRequestOverQuotaIsSentAfterOthers(t *testing.T) {
	settings := testSettings()
	settings.Tenants = []Tenant{{QuotaPerS: 2}, {QuotaPerS: 100}}
	settings.OverQuotaFraction = 0.05
	h := newHarness(t, settings, 1)
	requestFrom := func(tenant int) RequestID {
		h.lastID++
		h.balancer.Request(h.now, Request{ID: h.lastID, Tenant: tenant, Timeout: 2 * time.Second})
		return h.lastID
	}
	requestFrom(0)
	requestFrom(0)
	overQuota, withinQuota := requestFrom(0), requestFrom(1)

	for id := RequestID(1); id < withinQuota; id++ {
		if id != overQuota && len(h.attemptedServers(id)) > h.outcomesReported[id] {
			h.endAttempt(id, StatusOK, 10*ms)
		}
	}

	if len(h.attemptedServers(overQuota)) != 0 || len(h.attemptedServers(withinQuota)) != 1 {
		t.Fatalf("sends of the requests over and within their tenant's quota: got %d, %d; want 0, 1",
			len(h.attemptedServers(overQuota)), len(h.attemptedServers(withinQuota)))
	}
}

// Guards against quotas that also count rejected requests. While clients retry them, all requests of a tenant would
// exceed its quota and lose most of their weight.
func TestRejectedRequestRefundsItsQuotaToken(t *testing.T) {
	h := newHarness(t, smallQuotaSettings(), 20)

	for range 30 {
		h.openAllBreakers()
		id := h.request(0)
		if _, rejected := h.host.rejected[id]; !rejected {
			t.Fatalf("request %d was not rejected though all breakers are open", id)
		}
	}

	if !h.balancer.quotas.buckets[0].Take(h.now) {
		t.Error("tokens after 30 rejected requests: none left, want all refunded")
	}
}

func TestServedRequestUsesItsQuotaToken(t *testing.T) {
	h := newHarness(t, smallQuotaSettings(), 20)

	for range 30 {
		id := h.request(0)
		if _, rejected := h.host.rejected[id]; rejected {
			t.Fatalf("request %d was rejected though the servers have capacity", id)
		}
		h.endAttempt(id, StatusOK, 0)
	}

	if h.balancer.quotas.buckets[0].Take(h.now) {
		t.Error("tokens after 30 served requests: at least one left, want none")
	}
}

// smallQuotaSettings returns settings with one tenant. The quota of the tenant at this undersampled node is 10 requests
// per second.
func smallQuotaSettings() Settings {
	settings := testSettings()
	settings.Nodes = 80
	settings.Tenants = []Tenant{{QuotaPerS: 800}}
	settings.OverQuotaFraction = 0.2
	return settings
}
