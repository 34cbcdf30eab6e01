// Package reach decides whether a gateway can reach the endpoint servers of a service,
// from the results of its requests and load queries, and keeps what the other gateways
// state about themselves.
//
// A gateway may lose its network path to servers that are well and that other gateways
// reach. A server counts as unreachable if a connection to it could not be opened or
// broke, and, after several attempts, if open connections return nothing. A server that
// accepts a connection is slow rather than unreachable. A service is lost when several of
// its servers, or all if there are fewer, are unreachable and none has replied since the
// first of these failures. It is regained after consecutive replies without a failure
// between them.
//
// Replies that are late because this gateway's own link or processor is busy look like lost
// ones. A loss that rests on unanswered requests alone therefore takes a silence of a
// minimum length, which doubles with each such loss and halves with time, so that a gateway
// that is slow for long soon stops losing and regaining its services.
//
// The loss of a service says nothing about the servers themselves: if they are down,
// every gateway loses the service. Table tells the two cases apart.
//
// # Usage
//
//	d := reach.New()
//	d.SetServers([]string{"booking-01", "booking-02"})
//	if d.Fail(now, reach.Failure{Server: "booking-01", Cause: reach.Refused, SentAt: sentAt}) == reach.Lost {
//		log(d.Evidence(now))
//	}
//	if d.Reply(now, "booking-01") == reach.Regained { ... }
//
// A Detector is a deterministic state machine: time is an argument. The caller must
// serialize access to it.
package reach

import "time"

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Cause -output=cause_string.go

const (
	// minUnreachable is the number of unreachable servers that a service is lost with, if
	// it has as many.
	minUnreachable = 4
	// unansweredLimit is the number of consecutive requests on accepted connections
	// without a reply after which a server counts as unreachable.
	unansweredLimit = 3
	// minUnanswered is the least time over which they extend.
	minUnanswered = 500 * time.Millisecond
	// minLossTime is the least time from the first failed request after a reply to the loss,
	// unless all servers are unreachable. Servers that have ended refuse connections as
	// early as others reply, so that they may be the first of those that were asked at once.
	minLossTime = 20 * time.Millisecond
	// maxWait is the age from which an unanswered request is no evidence. A request that
	// waited for much longer than its timeout shows that this process did not run.
	maxWait = 5 * time.Second
	// regainReplies is the number of consecutive replies with which a service is regained.
	regainReplies = 3
	// minSilence is the least time without a reply to any request after which unanswered
	// requests alone show a loss. It doubles with each such loss, up to maxSilence, and
	// halves in each silenceHalfLife without one.
	minSilence      = 150 * time.Millisecond
	maxSilence      = 8 * minSilence
	silenceHalfLife = 10 * time.Second
	// maxHalvings is enough to reach minSilence from maxSilence.
	maxHalvings = 3
)

// Cause is the reason for which a server returned nothing.
type Cause int

const (
	// Unanswered means that nothing was received in time.
	Unanswered Cause = iota
	// Refused means that a new connection was refused.
	Refused
	// Reset means that the connection broke.
	Reset

	causes
)

// Failure is a request or load query to which a server returned nothing.
type Failure struct {
	// Server is the name of the server.
	Server string
	// Cause is the reason.
	Cause Cause
	// Accepted is true if the server accepted a new connection for the request.
	Accepted bool
	// NewConnection is true if the request needed a new connection.
	NewConnection bool
	// SentAt is when the request was sent, and Timeout how long it could wait.
	SentAt  time.Time
	Timeout time.Duration
}

// Change is the effect of an observation on the state of the service.
type Change int

const (
	// Unchanged means that the state is as before.
	Unchanged Change = iota
	// Lost means that the service has become unreachable.
	Lost
	// Regained means that the service can be reached again.
	Regained
)

// Evidence describes why a service is lost.
type Evidence struct {
	// Servers is the number of known servers, and Unreachable that of the unreachable ones.
	Servers, Unreachable int
	// Refused, Reset and Unanswered count the failures since the last reply before the loss,
	// and NewConnections those among them that needed a new connection.
	Refused, Reset, Unanswered, NewConnections int
	// LastReply is the time since the last reply; 0 if there was none.
	LastReply time.Duration
}

// Detector decides whether the servers of one service can be reached.
type Detector struct {
	servers map[string]*path
	// repliedAt is when any server replied last; zero if none has.
	repliedAt time.Time
	// counts and newConnections count the failures since then, or since the last reply
	// before the loss while the service is lost.
	counts         [causes]int
	newConnections int
	// failingSince is when the first of these requests was sent; zero if there is none.
	failingSince time.Time
	// replies counts the replies since the last failure.
	replies int
	lost    bool
	since   time.Time
	// silence is the time without a reply that the next loss by unanswered requests takes,
	// as of since.
	silence time.Duration
}

// path is what is known about the way to one server.
type path struct {
	// unreachable is true after a failure that shows that the server cannot be reached, of
	// a request that was sent at failedAt.
	unreachable bool
	failedAt    time.Time
	// unanswered counts the consecutive requests on accepted connections without a reply,
	// the first of which was sent at unansweredSince.
	unanswered      int
	unansweredSince time.Time
}

// New returns a Detector without servers.
func New() *Detector {
	return &Detector{servers: make(map[string]*path), silence: minSilence}
}

// SetServers replaces the names of the servers that may get requests. What is known about
// those that stay is kept.
func (d *Detector) SetServers(names []string) {
	servers := make(map[string]*path, len(names))
	for _, name := range names {
		p := d.servers[name]
		if p == nil {
			p = &path{}
		}
		servers[name] = p
	}
	d.servers = servers
}

// Reply records that a server returned something.
func (d *Detector) Reply(now time.Time, server string) Change {
	if p := d.servers[server]; p != nil {
		*p = path{}
	}
	d.repliedAt = now
	d.replies++
	regained := d.lost && d.replies >= min(regainReplies, max(len(d.servers), 1))
	if d.lost && !regained {
		return Unchanged
	}
	d.counts, d.newConnections, d.failingSince = [causes]int{}, 0, time.Time{}
	if !regained {
		return Unchanged
	}
	d.silence = d.silenceAt(now)
	d.lost, d.since = false, now
	for _, p := range d.servers {
		*p = path{}
	}
	return Regained
}

// Fail records that a server returned nothing. A request that was sent before the last
// reply of any server is no evidence about the service, and one that waited for too long
// is none at all.
func (d *Detector) Fail(now time.Time, f Failure) Change {
	p := d.servers[f.Server]
	if p == nil || f.SentAt.Before(d.repliedAt) || d.stalled(now, f) {
		return Unchanged
	}
	d.replies = 0
	d.counts[f.Cause]++
	if d.failingSince.IsZero() || f.SentAt.Before(d.failingSince) {
		d.failingSince = f.SentAt
	}
	if f.NewConnection {
		d.newConnections++
	}
	p.fail(now, f)
	unreachable := d.unreachable()
	if d.lost || len(d.servers) == 0 || unreachable < min(minUnreachable, len(d.servers)) {
		return Unchanged
	}
	if now.Sub(d.failingSince) < d.lossTime(now, unreachable) {
		return Unchanged
	}
	d.silence = d.silenceAt(now)
	if d.silent() {
		d.silence = min(2*d.silence, maxSilence)
	}
	d.lost, d.since = true, now
	return Lost
}

// lossTime returns the least time from the first failed request after a reply to the loss,
// with the given number of unreachable servers.
func (d *Detector) lossTime(now time.Time, unreachable int) time.Duration {
	switch {
	case d.silent():
		return d.silenceAt(now)
	case unreachable < len(d.servers):
		return minLossTime
	default:
		return 0
	}
}

// silent reports whether the failures since the last reply are unanswered requests alone.
func (d *Detector) silent() bool {
	return d.counts[Refused] == 0 && d.counts[Reset] == 0
}

// silenceAt returns the time without a reply that a loss by unanswered requests takes now.
func (d *Detector) silenceAt(now time.Time) time.Duration {
	if d.lost {
		return d.silence
	}
	halvings := min(max(now.Sub(d.since)/silenceHalfLife, 0), maxHalvings)
	return max(d.silence>>halvings, minSilence)
}

// stalled reports whether the wait for a reply was so much longer than allowed that this
// process cannot have run meanwhile.
func (d *Detector) stalled(now time.Time, f Failure) bool {
	waited := now.Sub(f.SentAt)
	return f.Cause == Unanswered && (waited > maxWait || f.Timeout > 0 && waited > 2*f.Timeout)
}

// fail applies a failure.
func (p *path) fail(now time.Time, f Failure) {
	p.failedAt = f.SentAt
	if !f.Accepted {
		p.unreachable = true
		return
	}
	if p.unanswered == 0 {
		p.unansweredSince = f.SentAt
	}
	p.unanswered++
	if p.unanswered >= unansweredLimit && now.Sub(p.unansweredSince) >= minUnanswered {
		p.unreachable = true
	}
}

// unreachable returns the number of servers that have become unreachable since the last
// reply of any server.
func (d *Detector) unreachable() int {
	n := 0
	for _, p := range d.servers {
		if p.unreachable && !p.failedAt.Before(d.repliedAt) {
			n++
		}
	}
	return n
}

// Lost reports whether the service is lost, and for how long.
func (d *Detector) Lost(now time.Time) (bool, time.Duration) {
	if !d.lost {
		return false, 0
	}
	return true, now.Sub(d.since)
}

// RepliedAt returns when any server replied last; the zero time if none has.
func (d *Detector) RepliedAt() time.Time {
	return d.repliedAt
}

// Evidence returns the evidence of the loss, or what there is of it so far.
func (d *Detector) Evidence(now time.Time) Evidence {
	e := Evidence{
		Servers: len(d.servers), Unreachable: d.unreachable(),
		Refused: d.counts[Refused], Reset: d.counts[Reset], Unanswered: d.counts[Unanswered], NewConnections: d.newConnections,
	}
	if !d.repliedAt.IsZero() {
		e.LastReply = now.Sub(d.repliedAt)
	}
	return e
}
