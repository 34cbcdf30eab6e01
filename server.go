package mustardsaddle

import "time"

// MaxWarmUp is the longest time for which a server may say that it is warming up.
const MaxWarmUp = 24 * time.Hour

// Server is an endpoint server as listed in the roster. A Server is immutable.
type Server struct {
	// Name identifies the server's VM, for example "booking-07".
	Name string
	// Incarnation grows with each restart of the server's VM.
	Incarnation int64
	// Address is the host and port on which the server accepts requests.
	Address string
	// Service is the service that the server belongs to.
	Service string
	// Zone is the server's availability zone.
	Zone string
	// Slots is how many requests the server runs concurrently.
	Slots int
	// Connections is the maximum number of open connections that the server
	// accepts.
	Connections int
	// Leaving is true once any source has shown that the server is leaving.
	Leaving bool
	// WarmAt is when the server's warm-up ends; zero if it has none or that is not known.
	WarmAt time.Time
	// WarmUpUnknown is true if the server's list does not say whether it is warming up.
	WarmUpUnknown bool
	// Evacuated is true while the operator wants no request to be sent to the server's
	// availability zone. The server may still be healthy, and finishes what it has.
	Evacuated bool
	// MayReturn is true for a server that counts as leaving only because of its
	// load reports. It receives no requests but is still probed, since a report can
	// be wrong.
	MayReturn bool
}

// Instance returns the name and the incarnation of the server.
func (s Server) Instance() Instance {
	return Instance{Name: s.Name, Incarnation: s.Incarnation}
}

// Instance identifies one incarnation of an endpoint server.
type Instance struct {
	// Name is the name of the server.
	Name string
	// Incarnation is the incarnation of the server.
	Incarnation int64
}

// WithLeaving returns a copy of s with Leaving set to leaving.
func (s Server) WithLeaving(leaving bool) Server {
	s.Leaving = leaving
	return s
}

// WithEvacuated returns a copy of s with Evacuated set to evacuated.
func (s Server) WithEvacuated(evacuated bool) Server {
	s.Evacuated = evacuated
	return s
}

// WithWarmAt returns a copy of s whose warm-up ends at the given time.
func (s Server) WithWarmAt(at time.Time) Server {
	s.WarmAt = at
	return s
}

// Cold reports whether the server is still warming up at now.
func (s Server) Cold(now time.Time) bool {
	return now.Before(s.WarmAt)
}

// Report is a server's statement of its own load. A report is already outdated when
// it is received.
type Report struct {
	// InFlight is the number of requests in the server, running or queued.
	InFlight int
	// Slots is how many requests the server runs concurrently; 0 if not stated.
	Slots int
	// Draining is true while the server accepts no new requests.
	Draining bool
	// Slowness is the current processing time on the server's VM as a multiple of
	// the usual one; 0 if not stated.
	Slowness float64
	// At is the gateway's local time at which the report was received.
	At time.Time
}

// VM is a gateway VM as listed by the platform or a peer.
type VM struct {
	// Name identifies the VM.
	Name string
	// Incarnation grows with each restart of the VM.
	Incarnation int64
	// Zone is the VM's availability zone.
	Zone string
	// Peer is the host and port on which the VM accepts peer links.
	Peer string
	// Leaving is true once the VM has announced that it is stopping.
	Leaving bool
}

// WithLeaving returns a copy of v with Leaving set to leaving.
func (v VM) WithLeaving(leaving bool) VM {
	v.Leaving = leaving
	return v
}

// Mark is the state of a VM, gateway or endpoint server, that the gateways exchange
// when it leaves. Marks are ordered by Incarnation, then Seq, then Leaving, and
// merging two marks keeps the higher one. Marks that arrive late, twice or out of
// order therefore do no harm, and an older live mark never replaces a leaving mark.
type Mark struct {
	// Name is the name of the VM.
	Name string
	// Incarnation is the incarnation of the VM that the mark refers to.
	Incarnation int64
	// Seq grows only when a gateway has direct evidence, newer than a leaving mark,
	// that the VM serves again.
	Seq int64
	// Leaving is true while the VM accepts no new requests.
	Leaving bool
}

// Newer reports whether m replaces old, a mark of the same VM.
func (m Mark) Newer(old Mark) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	if m.Seq != old.Seq {
		return m.Seq > old.Seq
	}
	return m.Leaving && !old.Leaving
}
