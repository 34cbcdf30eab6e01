package mustardsaddle

import (
	"math/rand/v2"
	"time"
)

// Chooser picks the endpoint server for each attempt of one service. A Chooser is a
// deterministic state machine: equal states, times, random sources and calls give
// equal choices. It is not safe for concurrent use; the caller must serialize
// access to it.
type Chooser interface {
	// SetServers replaces the set of known servers. The state of servers that stay
	// is kept.
	SetServers(now time.Time, servers []Server)
	// Choose picks a server for an attempt and counts the attempt as in flight. It
	// returns false if no server may take the attempt now.
	Choose(now time.Time, rng *rand.Rand, reqs Requirements) (Choice, bool)
	// Finish records the result of a chosen attempt.
	Finish(now time.Time, result Result)
	// Observe records a load report of a server.
	Observe(now time.Time, server string, report Report)
	// Probe picks the server to probe next. It returns false if none is due.
	Probe(now time.Time, rng *rand.Rand) (Server, bool)
}

// Requirements describes the attempt for which a server is chosen.
type Requirements struct {
	// Exclude holds the names of the servers that the call has tried already.
	Exclude []string
	// Zone is the availability zone of the gateway.
	Zone string
	// Unqueried is true if no server could be queried, so that the choice may use
	// servers without a recent load report.
	Unqueried bool
	// Limited holds the names of the servers that limit the rate of their requests and
	// may get one now. They are not queried for their load, since a load query would use
	// up the limit, and may be chosen without a recent load report.
	Limited []string
	// Cold holds those of Limited that are limited only because they are warming up. They
	// are slower than others.
	Cold []string
	// Bytes is the typical response size of the service, and RequestBytes its typical
	// request size.
	Bytes, RequestBytes int
}

// WithUnqueried returns a copy of r with Unqueried set to unqueried.
func (r Requirements) WithUnqueried(unqueried bool) Requirements {
	r.Unqueried = unqueried
	return r
}

// Choice is a chosen server, with the reason for the log.
type Choice struct {
	Server Server
	// Reason names the branch of the policy that decided, for example "Spill".
	Reason string
	// Report is the load report on which the choice was based, with InFlight
	// adjusted by this gateway's own attempts. Its At is zero if there was none.
	Report Report
	// Left states why the server of another availability zone was chosen; empty if the
	// server is in the gateway's zone or the Chooser does not prefer its servers.
	Left string
}

// Result describes how one attempt ended.
type Result struct {
	// Server is the name of the server.
	Server string
	// Outcome states whether the request was executed, as far as is known.
	Outcome Outcome
	// Shed is true if the server declared that it rejected the request because of
	// load.
	Shed bool
	// AddressTaken is true if another server answered at the address.
	AddressTaken bool
	// Failed is true for a server error, a broken connection or a timeout.
	Failed bool
	// Canceled is true if the gateway or the caller canceled the attempt, which
	// does not count as a failure of the server.
	Canceled bool
	// Latency is the time from sending the request to receiving the response
	// header.
	Latency time.Duration
}

// FleetSetter is a Chooser that divides the servers among the live gateways.
type FleetSetter interface {
	Chooser
	// SetFleet sets the name of this gateway and the live gateways, including
	// itself. Gateways with equal lists compute the same division.
	SetFleet(now time.Time, self string, gateways []VM)
}

// LoadQuerier is a Chooser that bases its choices on load queries sent to some
// servers just before. The result of a query reaches it through RecordQuery, and
// its load report then through Observe.
type LoadQuerier interface {
	Chooser
	// Known returns the servers that this gateway uses: all, or a subset of a large
	// service.
	Known() []Server
	// SelectQueries returns up to n servers to query now. A query to each of them
	// counts as pending until RecordQuery or CancelQueries.
	SelectQueries(now time.Time, rng *rand.Rand, reqs Requirements, n int) []Server
	// CancelQueries reports that servers returned by SelectQueries were not
	// queried.
	CancelQueries(servers []Server)
	// RecordQuery records the result of a load query.
	RecordQuery(now time.Time, server string, reply Reply)
	// Exclusions returns the servers that were excluded since the last call, for
	// the log.
	Exclusions() []Exclusion
}

// ZoneLeaver is a LoadQuerier that queries the servers of the gateway's availability zone
// first, and those of another one only if leaving the zone may pay.
type ZoneLeaver interface {
	LoadQuerier
	// SelectLeaving returns up to n servers of one other zone to query, after the queries
	// to the servers of SelectQueries have been answered. It returns none if leaving does
	// not pay.
	SelectLeaving(now time.Time, rng *rand.Rand, reqs Requirements, n int) []Server
	// RecordLeaving records that the queries to servers of SelectLeaving have been
	// answered or given up.
	RecordLeaving(now time.Time, queried []Server)
}

// Exclusion records that a server is excluded for a time.
type Exclusion struct {
	// Server is the name of the server.
	Server string
	// Reason states why, for example "Failures".
	Reason string
	// Duration is how long the server is excluded.
	Duration time.Duration
	// FailureRate is the moving average of failed attempts, from 0 to 1.
	FailureRate float64
}

//go:generate go tool -modfile=tools/go.mod stringer -type=Reply -output=reply_string.go

// Reply is the result of a load query.
type Reply int

const (
	// NoReply means that no reply arrived.
	NoReply Reply = iota
	// OwnReply means that the queried server replied.
	OwnReply
	// OtherReply means that another server replied at the address.
	OtherReply
)
