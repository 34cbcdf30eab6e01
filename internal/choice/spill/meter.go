package spill

import "time"

const (
	// meterWindow is the time over which a share is taken, and meterAttempts the number of
	// attempts below which the time goes on, up to maxMeterWindow.
	meterWindow    = 2 * time.Second
	meterAttempts  = 10
	maxMeterWindow = 20 * time.Second
	// beginShare and endShare are the shares at which calls begin and cease to leave the
	// zone, and changeShare is a change of the share by much.
	beginShare  = 0.05
	endShare    = 0.01
	changeShare = 0.2
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Step -output=step_string.go

// Step states how the share of attempts that leave the zone has moved.
type Step int

const (
	// Begun means that attempts have begun to leave the zone.
	Begun Step = iota
	// Changed means that the share has changed by much.
	Changed
	// Ended means that attempts have ceased to leave the zone.
	Ended
)

// Change is a change of the share of attempts that leave the zone.
type Change struct {
	Step Step
	// Share is the present share, and Before the share of the last change.
	Share, Before float64
	// Zone and Reason are those of most of the attempts that left; empty if none did.
	Zone, Reason string
	// Attempts is the number of attempts that Share is taken over.
	Attempts int
}

// Meter follows which share of the attempts of a service leaves the zone, and tells the
// changes that an operator has to know. The zero value is ready for use.
type Meter struct {
	since    time.Time
	attempts int
	left     map[Way]int
	told     float64
}

// Way is where attempts go that leave the zone, and why.
type Way struct {
	Zone, Reason string
}

// Record records an attempt; its Way is zero if it stays in the zone. It returns true and
// a Change if the share has begun, changed by much or ended.
func (m *Meter) Record(now time.Time, way Way) (Change, bool) {
	if m.since.IsZero() {
		m.since = now
	}
	m.attempts++
	if way != (Way{}) {
		if m.left == nil {
			m.left = make(map[Way]int)
		}
		m.left[way]++
	}
	age := now.Sub(m.since)
	if age < meterWindow || m.attempts < meterAttempts && age < maxMeterWindow {
		return Change{}, false
	}
	c := m.close()
	m.since, m.attempts, m.left = now, 0, nil
	switch {
	case m.told == 0 && c.Share >= beginShare:
		c.Step = Begun
	case m.told > 0 && c.Share < endShare:
		c.Step, c.Share = Ended, 0
	case m.told > 0 && max(c.Share-m.told, m.told-c.Share) >= changeShare:
		c.Step = Changed
	default:
		return Change{}, false
	}
	m.told = c.Share
	return c, true
}

// close returns the share of the present window.
func (m *Meter) close() Change {
	sum, most := 0, 0
	c := Change{Before: m.told, Attempts: m.attempts}
	for way, n := range m.left {
		sum += n
		if n > most || n == most && (way.Zone+way.Reason < c.Zone+c.Reason) {
			most, c.Zone, c.Reason = n, way.Zone, way.Reason
		}
	}
	c.Share = float64(sum) / float64(max(m.attempts, 1))
	return c
}
