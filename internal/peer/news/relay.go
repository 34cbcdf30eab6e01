package news

import (
	"cmp"
	"time"
)

const (
	// maxSeenChanges is the number of recent rule changes by which a Relay detects
	// duplicates.
	maxSeenChanges = 256
	// defaultMinAskInterval is the default of RelayConfig.MinAskInterval.
	defaultMinAskInterval = time.Second
	// defaultMinMarksInterval is the default of RelayConfig.MinMarksInterval.
	defaultMinMarksInterval = 5 * time.Second
)

// RelayConfig configures a Relay. Zero values take the defaults.
type RelayConfig struct {
	// MinAskInterval is the minimum time between two requests for rules to one peer.
	MinAskInterval time.Duration
	// MinMarksInterval is the minimum time between two transfers of all marks to one
	// peer, and likewise of all statements of servers and of all suspicions.
	MinMarksInterval time.Duration
}

// Relay decides which messages a gateway forwards and, by comparing the gateway's
// summary with that of a peer, whether it requests rules from the peer or sends it
// marks. It is a deterministic state machine, and not safe for concurrent use. It holds
// a bounded number of rule changes, and one entry per peer.
type Relay struct {
	cfg RelayConfig
	// seen holds the rule changes in the ring buffer recent.
	seen   map[changeID]bool
	recent []changeID
	// nextSlot is the index in recent of the oldest change, which the next one
	// overwrites.
	nextSlot int
	peers    map[string]peerState
}

// changeID identifies a rule change.
type changeID struct {
	from, to int64
	digest   uint64
}

// peerState holds when a peer was last asked for rules and last sent all marks, all
// statements of servers and all suspicions.
type peerState struct {
	rulesAskedAt     time.Time
	marksSentAt      time.Time
	statementsSentAt time.Time
	suspicionsSentAt time.Time
}

// SyncActions states what a gateway has to do after it compared its summary with a
// peer's.
type SyncActions struct {
	// AskRules is true if the peer has newer rules, which are to be requested.
	AskRules bool
	// SendMarks is true if the marks differ and all own marks are to be sent.
	SendMarks bool
	// SendStatements is true if the statements of servers differ and all own ones are to
	// be sent.
	SendStatements bool
	// SendSuspicions is true if the suspicions differ and all own ones are to be sent.
	SendSuspicions bool
}

// NewRelay returns a Relay that has forwarded nothing.
func NewRelay(cfg RelayConfig) *Relay {
	cfg.MinAskInterval = cmp.Or(cfg.MinAskInterval, defaultMinAskInterval)
	cfg.MinMarksInterval = cmp.Or(cfg.MinMarksInterval, defaultMinMarksInterval)
	return &Relay{
		cfg:    cfg,
		seen:   make(map[changeID]bool),
		recent: make([]changeID, maxSeenChanges),
		peers:  make(map[string]peerState),
	}
}

// ForwardTargets returns the links on which a message is forwarded. From is the peer
// that sent it, or empty for a message that originates here. Generation is the
// generation in force before the message is applied.
//
// Marks, statements of servers, suspicions, and VMs are forwarded on every link except the
// one they arrived on. The caller must pass only entries that were new to it: nothing else ends the flood. A
// rule change is forwarded once, whether or not it applies to the rules in force
// here, unless these already have its resulting generation or a higher one. For all
// other messages ForwardTargets returns no links: they are meant for their receiver
// alone or, as Generations and Listing, are forwarded without a Relay.
func (r *Relay) ForwardTargets(from string, msg Message, generation int64, links []string) []string {
	if change, ok := msg.(RuleChange); ok {
		if change.To <= generation || !r.recordChange(changeID{from: change.From, to: change.To, digest: change.Digest}) {
			return nil
		}
	} else if entries(msg) == 0 {
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

// entries returns the number of entries of a message that is flooded, and 0 for any other.
func entries(msg Message) int {
	switch m := msg.(type) {
	case Marks:
		return len(m.Marks)
	case Statements:
		return len(m.Servers)
	case Suspicions:
		return len(m.Requests)
	case Machines:
		return len(m.Machines)
	default:
		return 0
	}
}

// recordChange records a rule change and returns true, or returns false if it is
// recorded already. A new change evicts the oldest one.
func (r *Relay) recordChange(id changeID) bool {
	if r.seen[id] {
		return false
	}
	delete(r.seen, r.recent[r.nextSlot])
	r.seen[id] = true
	r.recent[r.nextSlot] = id
	r.nextSlot = (r.nextSlot + 1) % len(r.recent)
	return true
}

// Compare returns what to do after a peer sent its summary. The peer makes the
// same comparison, so that each side obtains what it lacks.
func (r *Relay) Compare(now time.Time, from string, own, theirs Summary) SyncActions {
	state := r.peers[from]
	var actions SyncActions
	if theirs.Generation > own.Generation && now.Sub(state.rulesAskedAt) >= r.cfg.MinAskInterval {
		actions.AskRules = true
		state.rulesAskedAt = now
	}
	if theirs.MarksDigest != own.MarksDigest && now.Sub(state.marksSentAt) >= r.cfg.MinMarksInterval {
		actions.SendMarks = true
		state.marksSentAt = now
	}
	if theirs.StatementsDigest != own.StatementsDigest && now.Sub(state.statementsSentAt) >= r.cfg.MinMarksInterval {
		actions.SendStatements = true
		state.statementsSentAt = now
	}
	if theirs.SuspicionsDigest != own.SuspicionsDigest && now.Sub(state.suspicionsSentAt) >= r.cfg.MinMarksInterval {
		actions.SendSuspicions = true
		state.suspicionsSentAt = now
	}
	if actions != (SyncActions{}) {
		r.peers[from] = state
	}
	return actions
}

// ResetPeer discards the state of a peer. It is called for each Hello, so that the
// minimum intervals do not delay the first requests over a new link.
func (r *Relay) ResetPeer(peer string) {
	delete(r.peers, peer)
}
