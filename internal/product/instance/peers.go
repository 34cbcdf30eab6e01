package instance

import (
	"context"
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/peer/link"
	"mustardsaddle.example/mustardsaddle/internal/peer/news"
)

// maxFloodedMachines is the largest number of VMs that are flooded at once: those of
// one page of the list.
const maxFloodedMachines = 256

func (in *instance) newLinks(seed uint64) *link.Links {
	s := in.cfg.Settings
	return link.New(link.Config{
		Self:           in.self,
		Summary:        in.summary,
		Receive:        in.receive,
		Known:          in.isKnown,
		OnNeighborLost: in.membership.markUnreachable,
		Timing:         link.Timing{Heartbeat: s.Peers.Heartbeat, SilenceTimeout: s.Peers.Silent},
		Seed:           seed,
		Logger:         in.cfg.Logger,
	})
}

// summary returns the summary of this gateway's state for Hello and Heartbeat messages.
func (in *instance) summary() news.Summary {
	s := news.Summary{
		MarksDigest: in.membership.Roster().MarksDigest(), StatementsDigest: in.gateway.Controllers().StatementsDigest(),
		SuspicionsDigest: in.gateway.Isolation().Digest(time.Now()),
	}
	if in.catalog == nil {
		s.Generation = in.generation.Load()
		return s
	}
	now := time.Now()
	s.Rules = news.NewKnown(in.catalog.Known(now, mustardsaddle.RulesCollection))
	s.Servers = news.NewKnown(in.catalog.Known(now, mustardsaddle.ServersCollection))
	s.Evacuations = news.NewKnown(in.catalog.Known(now, mustardsaddle.EvacuationsCollection))
	return s
}

// receive handles a message from a peer.
func (in *instance) receive(now time.Time, from string, msg news.Message) {
	switch m := msg.(type) {
	case news.Hello:
		in.mu.Lock()
		in.relay.ResetPeer(from)
		in.mu.Unlock()
		in.handleHello(now, from, m)
	case news.Heartbeat:
		in.reconcile(now, from, m.Summary)
	case news.Marks:
		in.floodNew(from, in.membership.applyMarks(now, m.Marks))
	case news.AskMachines:
		for _, part := range news.SplitMachines(in.membership.Roster().Machines()) {
			in.links.Send(from, part)
		}
	case news.Machines:
		in.floodNew(from, in.membership.applyMachines(now, m.Machines))
	case news.Generations:
		in.mergeGenerations(m)
	case news.Statements:
		in.floodStatements(from, in.gateway.Controllers().MergeStatements(now, m.Servers))
	case news.Reaches:
		in.mergeReaches(now, from, m)
	case news.Suspicions:
		in.floodSuspicions(from, in.gateway.Isolation().Merge(now, from, m.Requests))
	case news.Listing, news.AskListing, news.Evacuations, news.AskEvacuations:
		in.receiveDirectoryMessage(now, from, msg)
	case news.RuleChange, news.AskRules, news.WholeRules:
		in.receiveRuleMessage(now, from, msg)
	}
}

// handleHello handles the first message on a link, in which the peer identifies itself.
func (in *instance) handleHello(now time.Time, from string, m news.Hello) {
	in.membership.addVM(now, m.VM)
	if in.catalog != nil {
		// A directory lists the gateways that have registered themselves. Those that
		// registered after this gateway's last read are learned from their links.
		in.floodNew(from, in.membership.applyMachines(now, []mustardsaddle.Machine{machineFromVM(m.VM)}))
	}
	in.reconcile(now, from, m.Summary)
	if in.catalog == nil && len(in.membership.Roster().Services()) == 0 {
		in.links.Send(from, news.AskMachines{})
	}
}

// reconcile compares the peer's summary with this gateway's own state. It requests the
// rules and collections that are newer at the peer, and sends all marks if they differ.
func (in *instance) reconcile(now time.Time, from string, theirs news.Summary) {
	own := in.summary()
	in.mu.Lock()
	in.fleetGenerations.Merge(from, theirs.Generation)
	actions := in.relay.Compare(now, from, own, theirs)
	in.mu.Unlock()
	in.requestNewerCollections(now, from, theirs)
	if actions.AskRules {
		in.links.Send(from, news.AskRules{Have: own.Generation})
	}
	if actions.SendMarks {
		for _, part := range news.SplitMarks(in.membership.Roster().Marks()) {
			in.links.Send(from, part)
		}
	}
	if actions.SendStatements {
		for _, part := range news.SplitStatements(in.gateway.Controllers().Statements()) {
			in.links.Send(from, part)
		}
	}
	if actions.SendSuspicions {
		for _, part := range news.SplitSuspicions(in.gateway.Isolation().Suspicions(now)) {
			in.links.Send(from, part)
		}
	}
}

// handleSuspicion floods what this gateway has learned about a request.
func (in *instance) handleSuspicion(s mustardsaddle.RequestSuspicion) {
	in.floodSuspicions("", []mustardsaddle.RequestSuspicion{s})
}

// floodSuspicions floods suspicions that were new to this gateway.
func (in *instance) floodSuspicions(from string, suspicions []mustardsaddle.RequestSuspicion) {
	for _, part := range news.SplitSuspicions(suspicions) {
		in.flood(from, in.generation.Load(), part)
	}
}

// handleReach has the peers told which services this gateway cannot reach.
func (in *instance) handleReach(_ time.Time, lost []string) {
	in.gateway.Forwarder().SetLost(lost)
	notify(in.reachChanged)
}

// announceReach tells the linked peers which services this gateway cannot reach, until the
// context ends; then it closes done. The peers do not pass it on.
func (in *instance) announceReach(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for {
		statement, due, wait := in.gateway.Forwarder().NextStatement(time.Now())
		if due {
			in.links.Broadcast(news.Reaches{Gateways: []mustardsaddle.GatewayReach{statement}})
			continue
		}
		var next <-chan time.Time
		if wait > 0 {
			next = time.After(wait)
		}
		select {
		case <-ctx.Done():
			return
		case <-in.reachChanged:
		case <-next:
		}
	}
}

// mergeReaches records what a peer states about the services that it cannot reach. Earlier
// builds also pass on what others state, which may be out of date and is ignored.
func (in *instance) mergeReaches(now time.Time, from string, m news.Reaches) {
	own := slices.DeleteFunc(slices.Clone(m.Gateways), func(r mustardsaddle.GatewayReach) bool { return r.Name != from })
	for _, r := range in.gateway.Forwarder().Merge(now, own) {
		event.Info(in.cfg.Logger, event.PeerReach).Str("Peer", r.Name).Int64("Incarnation", r.Incarnation).Int64("Seq", r.Seq).
			Strs("Lost", r.Lost).Str("Source", from).Send()
	}
}

// handleStatement floods a statement of a server that this gateway has observed.
func (in *instance) handleStatement(s mustardsaddle.ServerStatement) {
	in.floodStatements("", []mustardsaddle.ServerStatement{s})
}

// floodStatements floods statements of servers that were new to this gateway.
func (in *instance) floodStatements(from string, statements []mustardsaddle.ServerStatement) {
	for _, part := range news.SplitStatements(statements) {
		in.flood(from, in.generation.Load(), part)
	}
}

// floodNew floods what was new to this gateway. More than maxFloodedMachines VMs, such
// as the whole list that a starting gateway receives, are not flooded: the other
// gateways already have them or request them.
func (in *instance) floodNew(from string, added additions) {
	generation := in.generation.Load()
	for _, part := range news.SplitMarks(added.marks) {
		in.flood(from, generation, part)
	}
	if len(added.machines) > maxFloodedMachines {
		return
	}
	for _, part := range news.SplitMachines(added.machines) {
		in.flood(from, generation, part)
	}
}

// flood sends a message to the peers that the relay selects. The generation is the one
// that was in force before the message was applied.
func (in *instance) flood(from string, generation int64, msg news.Message) {
	in.mu.Lock()
	targets := in.relay.ForwardTargets(from, msg, generation, in.links.Peers())
	in.mu.Unlock()
	in.links.SendAll(targets, msg)
}
