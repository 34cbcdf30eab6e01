// Package evacuation decides which availability zones are evacuated: operators want no
// request to be sent to the endpoint servers there. It performs no I/O and takes the current
// time as an argument.
//
// # Usage
//
//	zones := evacuation.New(evacuation.Config{})
//	zones = zones.With(now, update)
//	for i, s := range servers {
//		servers[i] = zones.Mark(s, stated, warmUp)
//	}
//	events := tracker.Update(now, zones.List(), inFlight)
//
// # The end
//
// The servers of a zone may have been replaced or restarted while it was evacuated.
// Therefore they count as warming up from the end of the evacuation, unless the directory
// has a newer statement of the server than the end.
//
// # Restores
//
// A directory that was restored from an older copy of its data may lack an evacuation that
// was requested after the copy was made. Such a zone stays evacuated for a while, so that
// operators can request it again.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

const (
	// defaultRetainLost gives operators the time to request again what a restore has lost.
	defaultRetainLost = time.Minute
	// endRetention is how long the end of an evacuation is remembered. It is longer than
	// any sensible warm-up.
	endRetention = time.Hour
)

// Config configures Zones. Zero values select the defaults.
type Config struct {
	// RetainLost is how long a zone stays evacuated that a restored directory no longer
	// lists.
	RetainLost time.Duration
}

// Zones holds the evacuated zones, and those whose evacuation has ended a short time ago. It
// is immutable.
type Zones struct {
	cfg     Config
	entries map[string]entry
	ends    map[string]end
}

// entry is an evacuated zone.
type entry struct {
	mustardsaddle.Evacuation
	// since is when this gateway learned of the evacuation.
	since time.Time
	// era is the era of the directory in which the evacuation was listed last.
	era int64
	// endsAt is when the evacuation ends that a restored directory does not list; zero for
	// a listed one. lostAt is the position at which it was missing.
	endsAt time.Time
	lostAt mustardsaddle.Position
}

// end is the end of an evacuation.
type end struct {
	// at is when this gateway learned of the end.
	at time.Time
	// position is the position of the directory at which the evacuation had ended.
	position mustardsaddle.Position
}

// New returns Zones without an evacuation.
func New(cfg Config) Zones {
	cfg.RetainLost = cmp.Or(cfg.RetainLost, defaultRetainLost)
	return Zones{cfg: cfg}
}

// With returns the state after an update of the directory, or of the rules file, that was
// received at now.
func (z Zones) With(now time.Time, u mustardsaddle.Update) Zones {
	next := z.clone()
	listed := make(map[string]bool, len(u.Evacuations))
	for _, e := range u.Evacuations {
		listed[e.Zone] = true
		next.list(now, e, u.Position.Era)
	}
	for _, name := range u.Removed {
		next.end(now, name, u.Position)
	}
	if u.Whole {
		for name := range z.entries {
			if !listed[name] {
				next.miss(now, name, u.Position)
			}
		}
	}
	return next.expire(now)
}

// WithTime returns the state at now: evacuations that a restored directory does not list
// have ended if their time has passed.
func (z Zones) WithTime(now time.Time) Zones {
	if !z.HasPending() {
		return z
	}
	return z.clone().expire(now)
}

// HasPending reports whether there is an evacuation that ends by itself, so that WithTime
// has to be called.
func (z Zones) HasPending() bool {
	for _, e := range z.entries {
		if !e.endsAt.IsZero() {
			return true
		}
	}
	return false
}

// Evacuated reports whether a zone is evacuated.
func (z Zones) Evacuated(zone string) bool {
	_, ok := z.entries[zone]
	return ok
}

// Mark returns a server with what the evacuations mean for it. If the evacuation of its zone
// has ended, the server counts as warming up for the given time from then on, unless stated,
// a position after which the directory stated the server, is not before the end.
func (z Zones) Mark(s mustardsaddle.Server, stated mustardsaddle.Position, warmUp time.Duration) mustardsaddle.Server {
	if z.Evacuated(s.Zone) {
		return s.WithEvacuated(true)
	}
	ended, ok := z.ends[s.Zone]
	if !ok || warmUp <= 0 || !ended.position.IsZero() && !stated.Before(ended.position) {
		return s
	}
	if warmAt := ended.at.Add(warmUp); warmAt.After(s.WarmAt) {
		return s.WithWarmAt(warmAt)
	}
	return s
}

// Zone is an evacuated zone as shown to operators.
type Zone struct {
	mustardsaddle.Evacuation
	// Since is when this gateway learned of the evacuation.
	Since time.Time
	// Lost is true if a restored directory does not list the evacuation any more.
	Lost bool
}

// List returns the evacuated zones, ordered by name.
func (z Zones) List() []Zone {
	var list []Zone
	for _, name := range slices.Sorted(maps.Keys(z.entries)) {
		e := z.entries[name]
		list = append(list, Zone{Evacuation: e.Evacuation, Since: e.since, Lost: !e.endsAt.IsZero()})
	}
	return list
}

// Listed returns the evacuations that the directory lists, ordered by zone.
func (z Zones) Listed() []mustardsaddle.Evacuation {
	var listed []mustardsaddle.Evacuation
	for _, zone := range z.List() {
		if !zone.Lost {
			listed = append(listed, zone.Evacuation)
		}
	}
	return listed
}

func (z Zones) clone() Zones {
	next := Zones{cfg: z.cfg, entries: maps.Clone(z.entries), ends: maps.Clone(z.ends)}
	if next.entries == nil {
		next.entries, next.ends = make(map[string]entry), make(map[string]end)
	}
	return next
}

// list records that a zone is listed as evacuated in an era. It modifies z.
func (z Zones) list(now time.Time, e mustardsaddle.Evacuation, era int64) {
	since := now
	if known, ok := z.entries[e.Zone]; ok {
		since = known.since
	}
	z.entries[e.Zone] = entry{Evacuation: e, since: since, era: era}
	delete(z.ends, e.Zone)
}

// miss records that a zone is not listed at a position. It modifies z.
func (z Zones) miss(now time.Time, name string, at mustardsaddle.Position) {
	e := z.entries[name]
	switch {
	case e.era >= at.Era:
		z.end(now, name, at)
	case e.endsAt.IsZero():
		e.endsAt, e.lostAt = now.Add(z.cfg.RetainLost), at
		z.entries[name] = e
	}
}

// end records that the evacuation of a zone has ended. It modifies z.
func (z Zones) end(now time.Time, name string, at mustardsaddle.Position) {
	if _, ok := z.entries[name]; !ok {
		return
	}
	delete(z.entries, name)
	z.ends[name] = end{at: now, position: at}
}

// expire ends the evacuations whose time has passed, and forgets old ends. It modifies and
// returns z.
func (z Zones) expire(now time.Time) Zones {
	for name, e := range z.entries {
		if !e.endsAt.IsZero() && !now.Before(e.endsAt) {
			z.end(now, name, e.lostAt)
		}
	}
	maps.DeleteFunc(z.ends, func(_ string, ended end) bool { return now.Sub(ended.at) >= endRetention })
	return z
}
