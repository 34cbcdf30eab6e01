package mustardsaddle

import "time"

// Server is an endpoint server as the roster knows it. A Server is immutable.
type Server struct {
	// Name identifies the server's VM, for example "booking-07".
	Name string
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
