// Package quarantine decides which requests are not sent to endpoint servers, because
// servers end while they run them.
//
// A request is suspect once a server has ended while it had the request. A suspect request
// is sent alone: one gateway at a time sends it, once at a time, so that it ends one server
// at most before all gateways know. With Config.Crashes instances that have ended in a row,
// the request is quarantined: no gateway sends it, except for a few retests at growing
// intervals. A complete response to the request from any server clears it.
//
// Servers also end for reasons of their own, and any request may be in flight then. Such a
// request is cleared by its next complete run. A request that runs all the time, and so is
// in flight at nearly every crash, does not become suspect in the first place as long as
// many of its runs complete.
//
// # Usage
//
//	t := quarantine.New(quarantine.Config{Crashes: 3})
//	next, changed := t.RecordCrash(now, quarantine.Crash{Digest: digest, Instance: server.Instance()})
//	if changed { ... } // send next to the other gateways
//	for _, s := range t.Merge(now, received) { ... } // forward s
//	switch d := t.Decide(now, digest); d.State {
//	case quarantine.Free: ... // send the request
//	case quarantine.Suspect: ... // send it alone
//	case quarantine.Due: ... // send it alone, after RecordRetest
//	case quarantine.Quarantined: ... // refuse it for d.Wait
//	}
//
// A Table is a deterministic state machine: time is an argument. The caller must serialize
// access to it.
package quarantine

import (
	"cmp"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=State -output=state_string.go

const (
	// DefaultCrashes is the default of Config.Crashes.
	DefaultCrashes = 3
	// DefaultRetest is the default of Config.Retest.
	DefaultRetest = 10 * time.Second
	// retestGrowth is the factor by which the wait for a retest grows with each retest.
	retestGrowth = 30
	// maxRetests is the number of retests of a quarantined request. One less than servers
	// allow, for a gateway that has not heard of the quarantine yet.
	maxRetests = 2
	// suspectLifetime is how long a suspect request without a further crash, or a cleared
	// one, is remembered.
	suspectLifetime = 10 * time.Minute
	// quarantineLifetime is how long a quarantined request without a further crash is
	// remembered.
	quarantineLifetime = 24 * time.Hour
	// maxSuspect bounds the number of suspect or cleared requests, and maxQuarantined that of
	// quarantined ones. Beyond them the oldest of the same sort is forgotten.
	maxSuspect     = 256
	maxQuarantined = 1024
)

// State is what may be done with a request.
type State int

const (
	// Free means that the request may be sent like any other.
	Free State = iota
	// Suspect means that it may be sent, but only once at a time in the fleet.
	Suspect
	// Due means that it is quarantined and may be sent once, as a retest.
	Due
	// Quarantined means that it must not be sent.
	Quarantined
)

// Config configures a Table. Zero values take the defaults.
type Config struct {
	// Crashes is the number of instances that end under a request before it is
	// quarantined. A negative number disables the table.
	Crashes int
	// Retest is the time after the last crash at which a quarantined request is sent again
	// for the first time.
	Retest time.Duration
}

// Decision is what may be done with a request now.
type Decision struct {
	State State
	// Crashes is the number of instances that have ended under the request.
	Crashes int
	// Wait is the time until the next retest, or until the quarantine is forgotten if there
	// is none; for a quarantined request only.
	Wait time.Duration
}

// Crash is the end of an instance that had a request.
type Crash struct {
	Digest mustardsaddle.RequestDigest
	// Head is the hash of the request without its body.
	Head uint64
	// Service is the service of the request.
	Service string
	// Instance is the instance that ended.
	Instance mustardsaddle.Instance
}

// Table holds the suspect and quarantined requests.
type Table struct {
	cfg       Config
	entries   map[mustardsaddle.RequestDigest]entry
	completed completions
	// heads counts the entries with crashes by Head.
	heads map[uint64]int
	// suspects counts the suspect entries, and quarantined the quarantined ones.
	suspects, quarantined int
}

// entry is what is known about one request.
type entry struct {
	mustardsaddle.RequestSuspicion
	// since is the time of the newest crash or retest. It replaces Age.
	since time.Time
}

// New returns an empty Table.
func New(cfg Config) *Table {
	cfg.Crashes = cmp.Or(cfg.Crashes, DefaultCrashes)
	cfg.Retest = cmp.Or(cfg.Retest, DefaultRetest)
	return &Table{
		cfg: cfg, entries: make(map[mustardsaddle.RequestDigest]entry), completed: newCompletions(), heads: make(map[uint64]int),
	}
}

// Decide returns what may be done with a request.
func (t *Table) Decide(now time.Time, digest mustardsaddle.RequestDigest) Decision {
	e, known := t.entries[digest]
	if !known || len(e.Crashes) == 0 || t.expired(now, e) {
		return Decision{}
	}
	d := Decision{State: Suspect, Crashes: len(e.Crashes)}
	if !t.isQuarantined(e) {
		return d
	}
	due := e.since.Add(t.hold(e.Retests))
	if e.Retests < maxRetests && !now.Before(due) {
		d.State = Due
		return d
	}
	d.State, d.Wait = Quarantined, due.Sub(now)
	return d
}

// hold returns how long a request is held back after the last crash or retest.
func (t *Table) hold(retests int) time.Duration {
	if retests >= maxRetests {
		return quarantineLifetime
	}
	d := t.cfg.Retest
	for range retests {
		d *= retestGrowth
	}
	return min(d, quarantineLifetime)
}

// isQuarantined reports whether the servers that have ended under a request suffice as
// proof.
func (t *Table) isQuarantined(e entry) bool { return len(e.Crashes) >= t.cfg.Crashes }

// expired reports whether an entry is no longer in effect.
func (t *Table) expired(now time.Time, e entry) bool {
	lifetime := suspectLifetime
	if t.isQuarantined(e) {
		lifetime = quarantineLifetime
	}
	return now.Sub(e.since) >= lifetime
}

// Concerns reports whether any request with the given hash of its head is suspect or
// quarantined, so that the body decides.
func (t *Table) Concerns(head uint64) bool { return t.heads[head] > 0 }

// RecordCrash records that an instance has ended while it had a request. It returns what
// has yet to be sent to the other gateways, and false if there is nothing new.
func (t *Table) RecordCrash(now time.Time, c Crash) (mustardsaddle.RequestSuspicion, bool) {
	if t.cfg.Crashes < 0 {
		return mustardsaddle.RequestSuspicion{}, false
	}
	t.completed.add(now, c.Digest, 0, 1)
	if t.completed.clear(now, c.Digest) {
		return mustardsaddle.RequestSuspicion{}, false
	}
	e, known := t.entries[c.Digest]
	if known && t.expired(now, e) && len(e.Crashes) > 0 {
		e.RequestSuspicion = e.WithoutCrashes()
	}
	if !known {
		e.RequestSuspicion = mustardsaddle.RequestSuspicion{Digest: c.Digest, Head: c.Head, Service: c.Service}
	}
	next, added := e.WithCrash(c.Instance)
	if !added {
		return mustardsaddle.RequestSuspicion{}, false
	}
	t.set(now, entry{RequestSuspicion: next, since: now})
	return next.WithAge(0), true
}

// RecordRetest records that a quarantined request is about to be sent again. It returns
// what has yet to be sent to the other gateways before that, and false if the request is not
// due.
func (t *Table) RecordRetest(now time.Time, digest mustardsaddle.RequestDigest) (mustardsaddle.RequestSuspicion, bool) {
	if t.Decide(now, digest).State != Due {
		return mustardsaddle.RequestSuspicion{}, false
	}
	next := t.entries[digest].WithRetest()
	t.set(now, entry{RequestSuspicion: next, since: now})
	return next.WithAge(0), true
}

// RecordCompleted records a complete response to a request. If the request was suspect or
// quarantined, it returns what has yet to be sent to the other gateways, and true.
func (t *Table) RecordCompleted(now time.Time, digest mustardsaddle.RequestDigest) (mustardsaddle.RequestSuspicion, bool) {
	if t.cfg.Crashes < 0 {
		return mustardsaddle.RequestSuspicion{}, false
	}
	t.completed.add(now, digest, 1, 0)
	return t.Release(now, digest)
}

// Release clears a request. It returns what has yet to be sent to the other gateways, and
// false if the request was neither suspect nor quarantined.
func (t *Table) Release(now time.Time, digest mustardsaddle.RequestDigest) (mustardsaddle.RequestSuspicion, bool) {
	e, known := t.entries[digest]
	if !known || len(e.Crashes) == 0 {
		return mustardsaddle.RequestSuspicion{}, false
	}
	next := e.WithoutCrashes()
	t.set(now, entry{RequestSuspicion: next, since: now})
	return next.WithAge(0), true
}

// Merge records suspicions of other gateways. It returns those that were new, and those that
// clear a request of which many runs have completed here. They have yet to be sent to the
// other gateways.
func (t *Table) Merge(now time.Time, received []mustardsaddle.RequestSuspicion) []mustardsaddle.RequestSuspicion {
	if t.cfg.Crashes < 0 {
		return nil
	}
	var added []mustardsaddle.RequestSuspicion
	for _, s := range received {
		next, changed := t.merge(now, s)
		if !changed {
			continue
		}
		if len(next.Crashes) > 0 && t.completed.clear(now, s.Digest) {
			next, _ = t.Release(now, s.Digest)
		}
		added = append(added, next)
	}
	return added
}

// merge merges one suspicion.
func (t *Table) merge(now time.Time, s mustardsaddle.RequestSuspicion) (mustardsaddle.RequestSuspicion, bool) {
	e, known := t.entries[s.Digest]
	received := entry{RequestSuspicion: s, since: now.Add(-s.Age)}
	if t.expired(now, received) {
		return s, false
	}
	if !known {
		t.set(now, received)
		return s, true
	}
	next, changed := e.WithAge(now.Sub(e.since)).Merge(s)
	if !changed {
		return s, false
	}
	t.set(now, entry{RequestSuspicion: next, since: now.Add(-next.Age)})
	return next, true
}

// set replaces the entry of a request, and forgets others to make room for it.
func (t *Table) set(now time.Time, e entry) {
	t.remove(e.Digest)
	if t.isQuarantined(e) {
		if t.quarantined >= maxQuarantined {
			t.evict(now, true)
		}
	} else if len(t.entries)-t.quarantined >= maxSuspect {
		t.evict(now, false)
	}
	t.entries[e.Digest] = e
	t.adjust(e, 1)
}

// remove removes the entry of a request.
func (t *Table) remove(digest mustardsaddle.RequestDigest) {
	if e, known := t.entries[digest]; known {
		delete(t.entries, digest)
		t.adjust(e, -1)
	}
}

// adjust adapts the counts to an entry that was added or removed.
func (t *Table) adjust(e entry, n int) {
	if t.isQuarantined(e) {
		t.quarantined += n
	} else if len(e.Crashes) > 0 {
		t.suspects += n
	}
	if len(e.Crashes) == 0 {
		return
	}
	t.heads[e.Head] += n
	if t.heads[e.Head] == 0 {
		delete(t.heads, e.Head)
	}
}

// evict removes the expired entries, or the oldest one of the same sort if there are none.
func (t *Table) evict(now time.Time, quarantined bool) {
	oldest, found := entry{}, false
	removed := false
	for digest, e := range t.entries {
		if t.expired(now, e) {
			t.remove(digest)
			removed = true
			continue
		}
		if t.isQuarantined(e) == quarantined && (!found || e.since.Before(oldest.since)) {
			oldest, found = e, true
		}
	}
	if !removed && found {
		t.remove(oldest.Digest)
	}
}
