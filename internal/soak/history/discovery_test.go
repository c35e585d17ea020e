package history

import (
	"testing"
	"time"

	"calicohinge/internal/testkit"
	"calicohinge/policy"
)

func TestNotifiedAt(t *testing.T) {
	began := time.Now().Add(-time.Minute)
	at := func(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }
	for name, c := range map[string]struct {
		outages    []outage
		deliveries []delivery
		reloads    []time.Time
		want       time.Time
	}{
		"neither delivery nor reload":       {nil, nil, nil, at(0).Add(policy.NotificationDeadline)},
		"delivery of the generation":        {nil, []delivery{{2, at(1)}}, nil, at(1)},
		"delivery of a later generation":    {nil, []delivery{{3, at(2)}}, nil, at(2)},
		"delivery of an earlier generation": {nil, []delivery{{1, at(1)}}, nil, at(0).Add(policy.NotificationDeadline)},
		"reload after publication":          {nil, nil, []time.Time{at(1)}, at(1).Add(testkit.AddressChangeDeadline)},
		"reload before publication":         {nil, nil, []time.Time{at(-1)}, at(0).Add(policy.NotificationDeadline)},
		"outage":                            {[]outage{{at(1), at(9)}}, nil, nil, at(9).Add(policy.NotificationDeadline)},
		"outages shortly after each other": {
			[]outage{{at(-1), at(1)}, {at(3), at(9)}}, nil, nil, at(9).Add(policy.NotificationDeadline),
		},
		"reload during an outage": {
			[]outage{{at(0), at(3)}}, nil, []time.Time{at(1)}, at(3).Add(policy.NotificationDeadline),
		},
	} {
		t.Run(name, func(t *testing.T) {
			discovery := Discovery{published: []time.Time{at(-9), at(0), at(0.5)}, outages: c.outages}
			incarnation := &Incarnation{StartedAt: at(-10), deliveries: c.deliveries, reloads: c.reloads}
			if got := discovery.NotifiedAt(incarnation, 2); !got.Equal(c.want) {
				t.Errorf("NotifiedAt(incarnation, 2) is %v after generation 2 was published, want %v",
					got.Sub(at(0)), c.want.Sub(at(0)))
			}
		})
	}
}

func TestNotificationDeadlineCountsFromProcessStart(t *testing.T) {
	began := time.Now()
	discovery := Discovery{published: []time.Time{began}}
	incarnation := &Incarnation{StartedAt: began.Add(time.Minute)}
	want := incarnation.StartedAt.Add(policy.NotificationDeadline)
	if got := discovery.NotifiedAt(incarnation, 1); !got.Equal(want) {
		t.Errorf("NotifiedAt(incarnation, 1) is %v after the process started, want %v",
			got.Sub(incarnation.StartedAt), policy.NotificationDeadline)
	}
}

// Where lists are pushed, a process counts as notified from its start of what was published before, unless discovery is
// unreachable.
func TestProcessIsNotifiedFromItsStartOfPushedLists(t *testing.T) {
	began := time.Now().Add(-time.Minute)
	start := began.Add(10 * time.Second)
	for name, c := range map[string]struct {
		published time.Time
		outages   []outage
		want      time.Time
	}{
		"published before":        {began, nil, start},
		"published later":         {start.Add(1), nil, start.Add(1 + policy.NotificationDeadline)},
		"outage before the start": {began, []outage{{began, start.Add(-1)}}, start},
		"outage shortly after":    {began, []outage{{start.Add(5 * time.Second), start.Add(9 * time.Second)}}, start.Add(9*time.Second + policy.NotificationDeadline)},
		"outage long after":       {began, []outage{{start.Add(6 * time.Second), start.Add(9 * time.Second)}}, start},
		"outage at the start":     {began, []outage{{began, start.Add(time.Second)}}, start.Add(time.Second + policy.NotificationDeadline)},
	} {
		t.Run(name, func(t *testing.T) {
			discovery := Discovery{Pushes: true, published: []time.Time{c.published}, outages: c.outages}
			if got := discovery.NotifiedAt(&Incarnation{StartedAt: start}, 1); !got.Equal(c.want) {
				t.Errorf("NotifiedAt(incarnation, 1) is %v after the start, want %v", got.Sub(start), c.want.Sub(start))
			}
		})
	}
}

func TestMaxNearIsGreatestLagInWindow(t *testing.T) {
	began := time.Now()
	lag := lagSeries{samples: []lagSample{
		{began, 20 * time.Millisecond},
		{began.Add(2 * time.Second), 30 * time.Millisecond},
		{began.Add(2300 * time.Millisecond), 10 * time.Millisecond},
	}}
	for after, want := range map[time.Duration]time.Duration{
		-time.Second:            0,
		100 * time.Millisecond:  20 * time.Millisecond,
		time.Second:             0,
		2400 * time.Millisecond: 30 * time.Millisecond,
		2700 * time.Millisecond: 10 * time.Millisecond,
		time.Minute:             0,
	} {
		if got := lag.MaxNear(began.Add(after)); got != want {
			t.Errorf("MaxNear(%v after the first sample) = %v, want %v", after, got, want)
		}
	}
}
