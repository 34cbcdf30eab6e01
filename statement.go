package mustardsaddle

// MaxStatedLimit is the highest valid limit in a Statement, in requests per second.
const MaxStatedLimit = 1e6

// Statement is what an endpoint server states, in its responses, about the requests
// that it takes from all gateways together. It applies to one incarnation of the
// server. The zero value means that the server states nothing. A Statement is
// immutable.
type Statement struct {
	// Leaving is true if the server is leaving and takes no new requests. No later
	// statement of the same incarnation undoes this.
	Leaving bool
	// Limited is true if the server limits the rate of its requests.
	Limited bool
	// PerSecond is the number of requests per second that a limited server takes from
	// all gateways together.
	PerSecond float64
}

// WithLeaving returns a copy of s with Leaving set to leaving.
func (s Statement) WithLeaving(leaving bool) Statement {
	s.Leaving = leaving
	return s
}

// WithLimit returns a copy of s with a limit of perSecond requests per second.
func (s Statement) WithLimit(perSecond float64) Statement {
	s.Limited, s.PerSecond = true, perSecond
	return s
}

// Valid reports whether the limit is in the range from 0 to MaxStatedLimit.
func (s Statement) Valid() bool {
	return s.PerSecond >= 0 && s.PerSecond <= MaxStatedLimit
}

// Tightens reports whether s permits fewer requests than old.
func (s Statement) Tightens(old Statement) bool {
	if s.Leaving != old.Leaving {
		return s.Leaving
	}
	return s.Limited && (!old.Limited || s.PerSecond < old.PerSecond)
}

// ServerStatement is the statement of one incarnation of a server, as gateways exchange
// it. Versions are ordered by Incarnation, then Seq, and of two versions that gateways
// created concurrently the one that permits fewer requests is newer.
type ServerStatement struct {
	// Name is the name of the server.
	Name string
	// Incarnation is the incarnation of the server that made the statement.
	Incarnation int64
	// Seq grows with each change of the statement that a gateway observes.
	Seq int64
	// Statement is what the server states.
	Statement Statement
}

// Newer reports whether s replaces old, a statement of the same server.
func (s ServerStatement) Newer(old ServerStatement) bool {
	if s.Incarnation != old.Incarnation {
		return s.Incarnation > old.Incarnation
	}
	if s.Seq != old.Seq {
		return s.Seq > old.Seq
	}
	return s.Statement.Tightens(old.Statement)
}
