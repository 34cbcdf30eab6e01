package evacuation

import "time"

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Kind -output=kind_string.go

// Kind is the kind of an Event.
type Kind int

const (
	// Begun means that a zone is evacuated from now on.
	Begun Kind = iota
	// Drained means that this gateway has no request in flight in an evacuated zone any more.
	Drained
	// Ended means that a zone is no longer evacuated.
	Ended
)

// Event is a step of an evacuation at this gateway.
type Event struct {
	Kind Kind
	Zone Zone
	// InFlight is the number of requests of this gateway that run in the zone.
	InFlight int
	// For is the time since the evacuation began.
	For time.Duration
}

// Tracker reports the steps of evacuations. Its zero value knows of none. It is not safe for
// concurrent use.
type Tracker struct {
	zones []Zone
	// drained tells of each known evacuation whether its zone has been empty.
	drained map[evacuated]bool
}

// evacuated identifies one evacuation of a zone.
type evacuated struct {
	zone  string
	since time.Time
}

// Update returns the steps since its last call. The zones are those that are evacuated at
// now, and inFlight holds the requests of this gateway that run there.
func (t *Tracker) Update(now time.Time, zones []Zone, inFlight map[string]int) []Event {
	var events []Event
	known := t.drained
	drained := make(map[evacuated]bool, len(zones))
	for _, z := range zones {
		key := evacuated{zone: z.Zone, since: z.Since}
		step := Event{Zone: z, InFlight: inFlight[z.Zone], For: now.Sub(z.Since)}
		if _, old := known[key]; !old {
			events = append(events, step)
		}
		drained[key] = known[key] || step.InFlight == 0
		if drained[key] && !known[key] {
			step.Kind = Drained
			events = append(events, step)
		}
	}
	for _, z := range t.zones {
		if _, still := drained[evacuated{zone: z.Zone, since: z.Since}]; !still {
			events = append(events, Event{Kind: Ended, Zone: z, InFlight: inFlight[z.Zone], For: now.Sub(z.Since)})
		}
	}
	t.zones, t.drained = zones, drained
	return events
}
