package link

import (
	"cmp"
	"math/rand/v2"
	"time"
)

const (
	defaultHeartbeat = time.Second
	// defaultSilenceHeartbeats is the default of Timing.SilenceTimeout, in
	// heartbeats.
	defaultSilenceHeartbeats = 3
	// stableLinkSilences is the age, in multiples of Timing.SilenceTimeout, from
	// which a link counts as stable.
	stableLinkSilences = 3
	defaultMinBackoff  = 100 * time.Millisecond
	defaultMaxBackoff  = 5 * time.Second
	// unwantedLinkSilences is how long a link to a peer that is no longer a neighbor
	// stays up, in multiples of Timing.SilenceTimeout.
	unwantedLinkSilences = 3
	// ticksPerHeartbeat is how often per heartbeat the event loop checks which
	// neighbors are due or lost.
	ticksPerHeartbeat        = 10
	defaultMaxInboundLinks   = 64
	defaultMaxQueuedMessages = 256
	defaultMaxQueuedBytes    = 4 << 20
	// maxBackoffDoublings limits the exponent of the backoff, against overflow.
	maxBackoffDoublings = 16
)

// Timing holds the intervals and timeouts of links. Zero values take the defaults.
type Timing struct {
	// Heartbeat is the time between heartbeats on a link.
	Heartbeat time.Duration
	// SilenceTimeout is the time without a received frame after which a link is
	// closed. It also is the timeout of dials, handshakes and writes.
	SilenceTimeout time.Duration
	// MinBackoff is the maximum delay after the first failure.
	MinBackoff time.Duration
	// MaxBackoff is the maximum delay after any number of failures.
	MaxBackoff time.Duration
}

func (t Timing) withDefaults() Timing {
	t.Heartbeat = cmp.Or(t.Heartbeat, defaultHeartbeat)
	t.SilenceTimeout = cmp.Or(t.SilenceTimeout, defaultSilenceHeartbeats*t.Heartbeat)
	t.MinBackoff = cmp.Or(t.MinBackoff, defaultMinBackoff)
	t.MaxBackoff = cmp.Or(t.MaxBackoff, defaultMaxBackoff)
	return t
}

// isSilent reports whether a link has timed out, given when its last frame was
// received.
func (t Timing) isSilent(now, lastReceived time.Time) bool {
	return now.Sub(lastReceived) >= t.SilenceTimeout
}

// backoff returns the delay before the next dial after the given number of
// consecutive failures. The delay doubles with each failure up to MaxBackoff, and
// half of it is random, so that gateways that lost the same peer do not all redial
// at the same time. Without a failure, it is random below MinBackoff.
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

// neighbor is the state that decides when to dial a neighbor, and when to report it
// as lost. It is used by value; the with methods return a changed copy.
type neighbor struct {
	// address is the peer address of the neighbor.
	address string
	// name is the name in the neighbor's Hello. Before the first handshake it is the
	// name, or else the address, that SetNeighbors was given.
	name string
	// dialsFirst is true if this gateway, and not the neighbor, is to dial first.
	dialsFirst bool
	// dialing is true during an attempt to dial.
	dialing bool
	// linked is true while a link is up.
	linked bool
	// stateSince is when linked last changed, or else when the neighbor became known.
	stateSince time.Time
	// notBefore is the earliest time of the next dial.
	notBefore time.Time
	// failures counts consecutive failed dials and links that ended before they were
	// stable.
	failures int
	// lossReported is true once the neighbor has been reported as lost, until the
	// next link.
	lossReported bool
}

// newNeighbor returns the state of a neighbor that became known now. Of two
// neighbors, the one with the lower name dials at once. The other waits two
// heartbeats, by which time the first should have dialed.
func newNeighbor(now time.Time, t Timing, self, name, address string) neighbor {
	n := neighbor{address: address, name: name, dialsFirst: self < name, stateSince: now, notBefore: now}
	if !n.dialsFirst {
		n.notBefore = now.Add(2 * t.Heartbeat)
	}
	return n
}

// due reports whether the neighbor is to be dialed now.
func (n neighbor) due(now time.Time) bool {
	return !n.linked && !n.dialing && !now.Before(n.notBefore)
}

// withDialing returns the state after a dial has begun.
func (n neighbor) withDialing() neighbor {
	n.dialing = true
	return n
}

// withFailure returns the state after a dial or its handshake has failed.
func (n neighbor) withFailure(now time.Time, t Timing, rng *rand.Rand) neighbor {
	n.dialing = false
	n.failures++
	n.notBefore = now.Add(t.backoff(rng, n.failures))
	return n
}

// withLink returns the state after a link has come up.
func (n neighbor) withLink(now time.Time) neighbor {
	if !n.linked {
		n.stateSince = now
	}
	n.linked = true
	n.lossReported = false
	return n
}

// withEnd returns the state after the link has ended. Both gateways schedule a
// redial, and the one that does not dial first waits half a heartbeat longer. After a
// stable link, the delay is random and below MinBackoff. After any other link the
// backoff applies, so that a peer that closes the connection right after the handshake
// is not dialed in a tight loop.
func (n neighbor) withEnd(now time.Time, t Timing, rng *rand.Rand) neighbor {
	n.failures++
	if now.Sub(n.stateSince) >= stableLinkSilences*t.SilenceTimeout {
		n.failures = 0
	}
	n.linked = false
	n.stateSince = now
	n.notBefore = now.Add(t.backoff(rng, n.failures))
	if !n.dialsFirst {
		n.notBefore = n.notBefore.Add(t.Heartbeat / 2)
	}
	return n
}

// isLost reports whether the neighbor is to be reported as lost: it has had no link
// for Timing.SilenceTimeout, and this has not been reported yet.
func (n neighbor) isLost(now time.Time, t Timing) bool {
	return !n.linked && !n.lossReported && now.Sub(n.stateSince) >= t.SilenceTimeout
}

// linkID holds what decides between two links to the same VM.
type linkID struct {
	// incarnation is the incarnation of the peer.
	incarnation int64
	// dialer is the name of the VM that dialed.
	dialer string
}

// replaces reports whether a new link to a VM replaces an old one that still seems
// alive. Both ends reach the same decision. The order of precedence is: the link to
// the later incarnation of the VM, the newer of two links with the same dialer, the
// link whose dialer has the lower name.
func (id linkID) replaces(old linkID) bool {
	if id.incarnation != old.incarnation {
		return id.incarnation > old.incarnation
	}
	return id.dialer <= old.dialer
}
