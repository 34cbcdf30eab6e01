package mustardsaddle

import "slices"

// GatewayReach is what a gateway states about the services whose endpoint servers it
// cannot reach, as gateways exchange it. Versions are ordered by Incarnation, then Seq. A
// GatewayReach is immutable.
type GatewayReach struct {
	// Name is the name of the gateway.
	Name string
	// Incarnation is the incarnation of the gateway that made the statement.
	Incarnation int64
	// Seq grows with each statement of an incarnation.
	Seq int64
	// Lost holds the services that the gateway cannot reach, ordered by name.
	Lost []string
}

// WithLost returns the next statement of the same incarnation, with the given services.
func (r GatewayReach) WithLost(services []string) GatewayReach {
	r.Seq++
	r.Lost = slices.Sorted(slices.Values(services))
	return r
}

// Newer reports whether r replaces old, a statement of the same gateway.
func (r GatewayReach) Newer(old GatewayReach) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	return r.Seq > old.Seq
}
