package news

import (
	"cmp"
	"time"
)

const (
	// relayMemory is how many rule changes a Relay remembers.
	relayMemory = 256
	// defaultAskEvery is how often one peer is asked for rules at most.
	defaultAskEvery = time.Second
	// defaultMarksEvery is how often one peer is sent all marks at most.
	defaultMarksEvery = 5 * time.Second
)

// RelayConfig configures a Relay. Zero values take the defaults.
type RelayConfig struct {
	// AskEvery is how often one peer is asked for rules at most.
	AskEvery time.Duration
	// MarksEvery is how often one peer is sent all marks at most.
	MarksEvery time.Duration
}

// Relay decides what a gateway passes on, and what it lacks. It is a
// deterministic state machine of bounded size, and not safe for concurrent use.
type Relay struct {
	cfg    RelayConfig
	seen   map[changeID]bool
	recent []changeID
	next   int
	peers  map[string]exchange
}

// changeID identifies a rule change.
type changeID struct {
	from, to int64
	digest   uint64
}

// exchange holds when a peer was last asked and last sent all marks.
type exchange struct {
	asked time.Time
	sent  time.Time
}

// Gap is what two gateways that compared their summaries have to do.
type Gap struct {
	// AskRules is true if the peer has newer rules and is to be asked for them.
	AskRules bool
	// SendMarks is true if all own marks are to be sent to the peer.
	SendMarks bool
}

// NewRelay returns a Relay that has passed nothing on.
func NewRelay(cfg RelayConfig) *Relay {
	cfg.AskEvery = cmp.Or(cfg.AskEvery, defaultAskEvery)
	cfg.MarksEvery = cmp.Or(cfg.MarksEvery, defaultMarksEvery)
	return &Relay{
		cfg:    cfg,
		seen:   make(map[changeID]bool),
		recent: make([]changeID, relayMemory),
		peers:  make(map[string]exchange),
	}
}

// Targets returns the links on which a message goes on. From is the peer that
// sent it, or empty for the gateway's own news. Generation is the generation in
// force before the message is applied.
//
// Marks and VMs go to every other link, so the caller passes only those that were
// new to it; that alone ends the flood. A rule change goes on once, whether or not
// it applies here, unless a generation as high is in force already. All other
// messages concern one link alone.
func (r *Relay) Targets(from string, msg Message, generation int64, links []string) []string {
	switch m := msg.(type) {
	case Marks:
		if len(m.Marks) == 0 {
			return nil
		}
	case Machines:
		if len(m.Machines) == 0 {
			return nil
		}
	case RuleChange:
		if m.To <= generation || !r.remember(changeID{from: m.From, to: m.To, digest: m.Digest}) {
			return nil
		}
	default:
		return nil
	}
	targets := make([]string, 0, len(links))
	for _, link := range links {
		if link != from {
			targets = append(targets, link)
		}
	}
	return targets
}

// remember returns false if the change was remembered already. The oldest
// remembered change is forgotten.
func (r *Relay) remember(id changeID) bool {
	if r.seen[id] {
		return false
	}
	delete(r.seen, r.recent[r.next])
	r.seen[id] = true
	r.recent[r.next] = id
	r.next = (r.next + 1) % len(r.recent)
	return true
}

// Compare returns what to do after a peer said what it knows. The peer compares
// too, so that each side sends what the other lacks.
func (r *Relay) Compare(now time.Time, from string, own, theirs Summary) Gap {
	x := r.peers[from]
	var gap Gap
	if theirs.Generation > own.Generation && now.Sub(x.asked) >= r.cfg.AskEvery {
		gap.AskRules = true
		x.asked = now
	}
	if theirs.MarksDigest != own.MarksDigest && now.Sub(x.sent) >= r.cfg.MarksEvery {
		gap.SendMarks = true
		x.sent = now
	}
	if gap != (Gap{}) {
		r.peers[from] = x
	}
	return gap
}

// Forget drops what is remembered of a peer. It is called for each Hello, so that
// a peer is asked at once over a new link.
func (r *Relay) Forget(peer string) {
	delete(r.peers, peer)
}
