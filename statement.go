package mustardsaddle

// Statement is what an endpoint server states, in its responses, about the requests
// that it takes from all gateways together. It applies to one incarnation of the
// server. The zero value means that the server states nothing. A Statement is
// immutable.
type Statement struct {
	// Limited is true if the server limits the rate of its requests.
	Limited bool
	// PerSecond is the number of requests per second that a limited server takes from
	// all gateways together.
	PerSecond float64
}

// WithLimit returns a copy of s with a limit of perSecond requests per second.
func (s Statement) WithLimit(perSecond float64) Statement {
	s.Limited, s.PerSecond = true, perSecond
	return s
}

// Tightens reports whether s permits fewer requests than old.
func (s Statement) Tightens(old Statement) bool {
	return s.Limited && (!old.Limited || s.PerSecond < old.PerSecond)
}
