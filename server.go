package mustardsaddle

import "time"

// Server is an endpoint server as the roster knows it. A Server is immutable.
type Server struct {
	// Name identifies the server's VM, for example "booking-07".
	Name string
	// Incarnation orders the lives of the server's VM: it grows with each
	// restart.
	Incarnation int64
	// Address is the host and port that answers requests.
	Address string
	// Service is the service that the server belongs to.
	Service string
	// Zone is the server's availability zone.
	Zone string
	// Slots is how many requests the server runs at a time.
	Slots int
	// Connections is how many open connections the server accepts.
	Connections int
	// Leaving is true once any input has shown that the server is leaving.
	Leaving bool
	// WarmAt is when the server has warmed up after its start; zero if unknown.
	WarmAt time.Time
	// MayReturn is true for a leaving server of which only load reports say so.
	// It takes no requests, but its load is still asked for, since a report can
	// mislead.
	MayReturn bool
}

// WithLeaving returns a copy of s with Leaving set to leaving.
func (s Server) WithLeaving(leaving bool) Server {
	s.Leaving = leaving
	return s
}

// Report is a server's statement about its own load. A report is stale when it
// arrives: At is the local time at which it was received.
type Report struct {
	// InFlight is the number of requests in the server, running or queued.
	InFlight int
	// Slots is how many requests the server runs at a time; 0 if not stated.
	Slots int
	// Draining is true while the server takes no new requests.
	Draining bool
	// Slowness is how long work takes on the server's VM at this moment, as a
	// multiple of the usual; 0 if not stated.
	Slowness float64
	// At is when the gateway received the report.
	At time.Time
}

// VM is one gateway VM as the platform or a peer knows it.
type VM struct {
	// Name identifies the VM.
	Name string
	// Incarnation orders the lives of a VM: it grows with each restart.
	Incarnation int64
	// Zone is the VM's availability zone.
	Zone string
	// Peer is the host and port on which the VM accepts peer links.
	Peer string
	// Leaving is true once the VM has said that it stops.
	Leaving bool
}

// WithLeaving returns a copy of v with Leaving set to leaving.
func (v VM) WithLeaving(leaving bool) VM {
	v.Leaving = leaving
	return v
}

// Mark is what the gateways tell each other about a VM, gateway or endpoint
// server, that leaves. Marks are ordered by Incarnation, then Seq, then Leaving:
// the higher one wins wherever two meet, so that marks arriving late, twice or
// out of order do no harm, and an older "live" never undoes a "leaving".
type Mark struct {
	// Name is the name of the VM.
	Name string
	// Incarnation is the life of the VM that the mark is about.
	Incarnation int64
	// Seq grows only when a gateway that marked the VM as leaving has
	// first-hand proof, newer than the mark, that it serves again.
	Seq int64
	// Leaving is true while the VM takes no new requests.
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
