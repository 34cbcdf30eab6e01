package link

import (
	"cmp"
	"math/rand/v2"
	"time"
)

const (
	defaultHeartbeat    = time.Second
	silenceHeartbeats   = 3
	stableSilences      = 3
	defaultMinBackoff   = 100 * time.Millisecond
	defaultMaxBackoff   = 5 * time.Second
	unwantedSilences    = 3
	ticksPerHeartbeat   = 10
	defaultMaxLinks     = 64
	defaultQueue        = 256
	defaultQueueBytes   = 4 << 20
	maxBackoffDoublings = 16
)

// Timing holds the durations that decide when links are made and closed. Zero
// values take the defaults.
type Timing struct {
	// Heartbeat is the time between heartbeats on a link.
	Heartbeat time.Duration
	// Silence is how long nothing may come on a link before it is closed.
	Silence time.Duration
	// MinBackoff is the wait after the first failure to dial.
	MinBackoff time.Duration
	// MaxBackoff bounds the wait after many failures.
	MaxBackoff time.Duration
}

func (t Timing) withDefaults() Timing {
	t.Heartbeat = cmp.Or(t.Heartbeat, defaultHeartbeat)
	t.Silence = cmp.Or(t.Silence, silenceHeartbeats*t.Heartbeat)
	t.MinBackoff = cmp.Or(t.MinBackoff, defaultMinBackoff)
	t.MaxBackoff = cmp.Or(t.MaxBackoff, defaultMaxBackoff)
	return t
}

// silent reports whether a link on which the last frame came at last is to be closed.
func (t Timing) silent(now, last time.Time) bool {
	return now.Sub(last) >= t.Silence
}

// backoff returns how long to wait before the next try after the given number of
// failures in a row. It doubles with each, and half of it is random, so that
// gateways which lost the same peer do not come back together.
func (t Timing) backoff(rng *rand.Rand, failures int) time.Duration {
	d := t.MinBackoff << min(max(failures-1, 0), maxBackoffDoublings)
	if d <= 0 || d > t.MaxBackoff {
		d = t.MaxBackoff
	}
	if failures == 0 {
		return time.Duration(rng.Int64N(int64(d)))
	}
	return d/2 + time.Duration(rng.Int64N(int64(d)/2+1))
}

// neighbor is the state of the link to one neighbor, as far as it decides when
// to dial. It is immutable; each event gives a new one.
type neighbor struct {
	// address is where the neighbor accepts links.
	address string
	// name is the neighbor's name, which an introduction may correct.
	name string
	// first is true if this gateway dials before the neighbor does.
	first bool
	// dialing is true while a try runs.
	dialing bool
	// linked is true while a link is up.
	linked bool
	// since is when linked last changed.
	since time.Time
	// notBefore is the earliest time of the next try.
	notBefore time.Time
	// failures counts tries and short links in a row.
	failures int
	// lost is true once the neighbor has been reported as lost.
	lost bool
}

// newNeighbor returns the state of a neighbor that became known now. Of two
// neighbors the one with the lower name dials at once, and the other waits until
// the first should have done so.
func newNeighbor(now time.Time, t Timing, self, name, address string) neighbor {
	n := neighbor{address: address, name: name, first: self < name, since: now, notBefore: now}
	if !n.first {
		n.notBefore = now.Add(2 * t.Heartbeat)
	}
	return n
}

// due reports whether to dial now.
func (n neighbor) due(now time.Time) bool {
	return !n.linked && !n.dialing && !now.Before(n.notBefore)
}

// withDialing returns the state after a try began.
func (n neighbor) withDialing() neighbor {
	n.dialing = true
	return n
}

// withFailure returns the state after a try failed.
func (n neighbor) withFailure(now time.Time, t Timing, rng *rand.Rand) neighbor {
	n.dialing = false
	n.failures++
	n.notBefore = now.Add(t.backoff(rng, n.failures))
	return n
}

// withLink returns the state after a link came up.
func (n neighbor) withLink(now time.Time) neighbor {
	if !n.linked {
		n.since = now
	}
	n.linked = true
	n.lost = false
	return n
}

// withEnd returns the state after the link ended. A link that had been stable is
// dialled anew at once, from either end; others are backed off, so that a peer
// that refuses us after the introduction is not hammered.
func (n neighbor) withEnd(now time.Time, t Timing, rng *rand.Rand) neighbor {
	n.failures++
	if now.Sub(n.since) >= stableSilences*t.Silence {
		n.failures = 0
	}
	n.linked = false
	n.since = now
	n.notBefore = now.Add(t.backoff(rng, n.failures))
	if !n.first {
		n.notBefore = n.notBefore.Add(t.Heartbeat / 2)
	}
	return n
}

// isLost reports whether the neighbor is to be reported as lost: without a link
// for longer than a silent link would have lasted.
func (n neighbor) isLost(now time.Time, t Timing) bool {
	return !n.linked && !n.lost && now.Sub(n.since) >= t.Silence
}

// identity is what decides between two links to the same VM.
type identity struct {
	incarnation int64
	// dialer is the name of the VM that dialled.
	dialer string
}

// replaces reports whether a new link to a VM replaces an old one that seems
// alive. Both ends decide alike: a later life of the VM wins, then a later link
// of the same dialer, then the link that the lower name dialled.
func (id identity) replaces(old identity) bool {
	if id.incarnation != old.incarnation {
		return id.incarnation > old.incarnation
	}
	return id.dialer <= old.dialer
}
