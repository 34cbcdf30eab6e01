package mustardsaddle

import (
	"math/rand/v2"
	"time"
)

// Chooser picks the endpoint server for each attempt of one service. A Chooser
// is a deterministic state machine: equal states, times, random sources and
// calls give equal choices. It is not safe for concurrent use; its owner holds
// a lock.
type Chooser interface {
	// SetServers replaces the set of known servers. State of servers that stay
	// is kept.
	SetServers(now time.Time, servers []Server)
	// Choose picks a server for an attempt, and counts the attempt as in
	// flight. It returns false when no server may take the attempt now.
	Choose(now time.Time, rng *rand.Rand, need Need) (Choice, bool)
	// Finish tells how a chosen attempt ended.
	Finish(now time.Time, result Result)
	// Observe takes a load report of a server.
	Observe(now time.Time, server string, report Report)
	// Probe picks the server whose load is most worth asking for, if any.
	Probe(now time.Time, rng *rand.Rand) (Server, bool)
}

// Need describes the attempt that wants a server.
type Need struct {
	// Exclude names servers that this call has tried already.
	Exclude []string
	// Zone is the availability zone of the gateway.
	Zone string
	// Blind is true if no server could be asked, so that a guess must do.
	Blind bool
	// Bytes is the usual size of an answer of the service.
	Bytes int
}

// WithBlind returns a copy of n with Blind set.
func (n Need) WithBlind(blind bool) Need {
	n.Blind = blind
	return n
}

// Choice is a chosen server, with the reason for the log.
type Choice struct {
	Server Server
	// Reason names the branch of the policy that decided, for example "Spill".
	Reason string
	// Report is the load report that decided, with this gateway's own attempts
	// counted in; its At is zero if none did.
	Report Report
}

// Result tells how one attempt ended.
type Result struct {
	// Server is the name of the server.
	Server string
	// Outcome is what is known about execution.
	Outcome Outcome
	// Shed is true when the server declared that it refused for load.
	Shed bool
	// Gone is true when another server has the address.
	Gone bool
	// Failed is true for a server error, a broken connection or a timeout.
	Failed bool
	// Canceled is true when the gateway or the caller gave the attempt up, which
	// says nothing against the server.
	Canceled bool
	// Latency is the time from sending to the response header.
	Latency time.Duration
}

// FleetSetter is a Chooser that divides the servers among the live gateways.
type FleetSetter interface {
	Chooser
	// SetFleet tells the name of this gateway and all live gateways, itself
	// included. Gateways with equal lists agree on the division.
	SetFleet(now time.Time, self string, gateways []VM)
}

// Surveyor is a Chooser that wants some servers to be asked for their load just
// before it chooses. The answers reach it through Observe, after Asked.
type Surveyor interface {
	Chooser
	// Ask returns up to n servers to ask now. They count as asked until Asked or
	// Unasked.
	Ask(now time.Time, rng *rand.Rand, need Need, n int) []Server
	// Unasked tells that servers of Ask were not asked after all.
	Unasked(servers []Server)
	// Asked tells what became of a question.
	Asked(now time.Time, server string, reply Reply)
	// Verdicts returns the servers that were taken out of the choice since the last
	// call, for the log.
	Verdicts() []Verdict
}

// Verdict says that a server is passed over for a time.
type Verdict struct {
	// Server is the name of the server.
	Server string
	// Reason names why, for example "Failures".
	Reason string
	// For is how long the server is passed over.
	For time.Duration
	// Failures is the moving mean of failed attempts, from 0 to 1.
	Failures float64
}

//go:generate go tool -modfile=tools/go.mod stringer -type=Reply -output=reply_string.go

// Reply is what became of a question for a server's load.
type Reply int

const (
	// NoReply means that no answer came.
	NoReply Reply = iota
	// OwnReply means that the server answered.
	OwnReply
	// OtherReply means that another server has the address.
	OtherReply
)
