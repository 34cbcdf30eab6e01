package instance

import (
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/peer/link"
	"mustardsaddle.example/mustardsaddle/internal/peer/news"
)

// maxFloodedMachines bounds the VMs that are flooded at a time: a page's worth.
const maxFloodedMachines = 256

func (in *instance) newLinks(seed uint64) *link.Links {
	s := in.cfg.Settings
	return link.New(link.Config{
		Self:    in.self,
		Summary: in.summary,
		Receive: in.receive,
		Lost:    in.membership.silent,
		Timing:  link.Timing{Heartbeat: s.Peers.Heartbeat, Silence: s.Peers.Silent},
		Seed:    seed,
		Logger:  in.cfg.Logger,
	})
}

// summary says what this gateway knows.
func (in *instance) summary() news.Summary {
	s := news.Summary{MarksDigest: in.membership.Roster().MarksDigest()}
	if in.catalog == nil {
		s.Generation = in.generation.Load()
		return s
	}
	now := time.Now()
	s.Rules = knownOf(in.catalog.Known(now, mustardsaddle.RulesCollection))
	s.Servers = knownOf(in.catalog.Known(now, mustardsaddle.ServersCollection))
	return s
}

// receive takes one message of a peer.
func (in *instance) receive(now time.Time, from string, msg news.Message) {
	switch m := msg.(type) {
	case news.Hello:
		in.mu.Lock()
		in.relay.Forget(from)
		in.mu.Unlock()
		in.introduced(now, from, m)
	case news.Heartbeat:
		in.compare(now, from, m.Summary)
	case news.Marks:
		in.spreadFresh(from, in.membership.marks(now, m.Marks))
	case news.AskMachines:
		for _, part := range news.SplitMachines(in.membership.Roster().Machines()) {
			in.links.Send(from, part)
		}
	case news.Machines:
		in.spreadFresh(from, in.membership.machines(now, m.Machines))
	case news.Generations:
		in.learn(m)
	case news.Listing, news.AskListing:
		in.receiveListing(now, from, msg)
	case news.RuleChange, news.AskRules, news.WholeRules:
		in.receiveRules(now, from, msg)
	}
}

// introduced takes the introduction of a peer.
func (in *instance) introduced(now time.Time, from string, m news.Hello) {
	in.membership.vm(now, m.VM)
	if in.catalog != nil {
		// A directory names the gateways that have entered themselves; those that
		// entered after this one has read it come by links.
		in.spreadFresh(from, in.membership.machines(now, []mustardsaddle.Machine{machineOf(m.VM)}))
	}
	in.compare(now, from, m.Summary)
	if in.catalog == nil && len(in.membership.Roster().Services()) == 0 {
		in.links.Send(from, news.AskMachines{})
	}
}

// compare asks for what the peer knows and this gateway lacks, and sends what
// the peer lacks.
func (in *instance) compare(now time.Time, from string, theirs news.Summary) {
	own := in.summary()
	in.mu.Lock()
	in.told.Learn(from, theirs.Generation)
	gap := in.relay.Compare(now, from, own, theirs)
	in.mu.Unlock()
	in.compareListed(now, from, theirs)
	if gap.AskRules {
		in.links.Send(from, news.AskRules{Have: own.Generation})
	}
	if gap.SendMarks {
		for _, part := range news.SplitMarks(in.membership.Roster().Marks()) {
			in.links.Send(from, part)
		}
	}
}

// spreadFresh floods what was new to this gateway. A whole list, such as a starting
// gateway gets, is not flooded: the others have it, or ask for it.
func (in *instance) spreadFresh(from string, f fresh) {
	generation := in.generation.Load()
	for _, part := range news.SplitMarks(f.marks) {
		in.spread(from, generation, part)
	}
	if len(f.machines) > maxFloodedMachines {
		return
	}
	for _, part := range news.SplitMachines(f.machines) {
		in.spread(from, generation, part)
	}
}

// spread passes a message on to the peers that the relay names; generation is the
// one in force before the message is applied.
func (in *instance) spread(from string, generation int64, msg news.Message) {
	in.mu.Lock()
	targets := in.relay.Targets(from, msg, generation, in.links.Peers())
	in.mu.Unlock()
	in.links.SendAll(targets, msg)
}
