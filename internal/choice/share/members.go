package share

import (
	"time"

	"mustardsaddle.example/mustardsaddle"
)

const (
	// settleTime is the time from the first list of gateways until this gateway takes its
	// part. Others that start at the same time may be missing from that list.
	settleTime = time.Second
	// leaseTime is how long a gateway takes its part after the last list that had it, and
	// absentTime how long a gateway counts after the others last knew it. A gateway that
	// is cut off from the list thus ceases to take its part before the others stop to count
	// it.
	leaseTime  = 5 * time.Minute
	absentTime = 10 * time.Minute
)

// Members counts the gateways among which one gateway divides what the whole fleet may do,
// so that the parts of all gateways never exceed the whole: it counts no fewer gateways than
// run. It is not safe for concurrent use.
type Members struct {
	// live holds the gateways that are known and neither leaving nor unreachable.
	live map[string]bool
	// seen holds when the gateways that are not live were last known.
	seen map[string]time.Time
	// confirmedAt is when this gateway was last on a list of all gateways, and settledAt
	// when it may take its part; zero before the first list.
	confirmedAt, settledAt time.Time
	// recountAt is when the first gateway that is not live is forgotten.
	recountAt time.Time
	count     int
}

// NewMembers returns Members that know no gateway.
func NewMembers() *Members {
	return &Members{seen: make(map[string]time.Time)}
}

// SetGateways replaces the known gateways, including this one. Those that are leaving or
// missing count for absentTime.
func (m *Members) SetGateways(now time.Time, gateways []mustardsaddle.VM) {
	before := m.live
	m.live = make(map[string]bool, len(gateways))
	for _, vm := range gateways {
		if !vm.Leaving {
			m.live[vm.Name] = true
			delete(m.seen, vm.Name)
			continue
		}
		if _, known := m.seen[vm.Name]; !known {
			m.seen[vm.Name] = now
		}
	}
	for name := range before {
		if !m.live[name] {
			m.seen[name] = now
		}
	}
	m.recount(now)
}

// Confirm records that this gateway is on a list of all gateways, and that the list has the
// given names.
func (m *Members) Confirm(now time.Time, names []string) {
	if m.settledAt.IsZero() {
		m.settledAt = now.Add(settleTime)
	}
	m.confirmedAt = now
	for _, name := range names {
		if !m.live[name] {
			m.seen[name] = now
		}
	}
	m.recount(now)
}

// Count returns the number of gateways among which the whole is divided. It returns 0 if
// this gateway may not take its part: it knows no list of all gateways, or only an old one.
func (m *Members) Count(now time.Time) int {
	if m.settledAt.IsZero() || now.Before(m.settledAt) || now.Sub(m.confirmedAt) > leaseTime {
		return 0
	}
	if now.After(m.recountAt) {
		m.recount(now)
	}
	return max(m.count, 1)
}

// recount forgets the gateways that have been absent for absentTime, and counts the others.
func (m *Members) recount(now time.Time) {
	m.recountAt = now.Add(absentTime)
	for name, at := range m.seen {
		forgetAt := at.Add(absentTime)
		if now.After(forgetAt) {
			delete(m.seen, name)
			continue
		}
		if forgetAt.Before(m.recountAt) {
			m.recountAt = forgetAt
		}
	}
	m.count = len(m.live) + len(m.seen)
}
