package instance

import (
	"time"

	"mustardsaddle.example/mustardsaddle/internal/control/registry"
	"mustardsaddle.example/mustardsaddle/internal/control/roster"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/control/store"
	"mustardsaddle.example/mustardsaddle/internal/peer/news"
	"mustardsaddle.example/mustardsaddle/internal/product/admin"
)

// watchersPerZone is how many gateways of each availability zone hold watches.
const watchersPerZone = 2

func (in *instance) newRegistry(seed uint64) *registry.Registry {
	return registry.New(registry.Config{
		Name:        in.self.Name,
		Store:       in.store,
		StatusStore: in.store.For(store.Status),
		InForce:     in.inForce,
		Spread:      in.spreadChange,
		Rank: func() int {
			return roster.Rank(in.membership.Roster().VMs(), in.self.Name, registry.SubmittedKey)
		},
		Fleet: func() int { return in.membership.Roster().Gateways() },
		Watch: func() bool {
			return roster.ZoneRank(in.membership.Roster().VMs(), in.self.Name, registry.AcceptedKey) < watchersPerZone
		},
		Live:   in.live,
		Logger: in.cfg.Logger,
		Seed:   seed,
	})
}

// inForce puts a table in force on the request path.
func (in *instance) inForce(t *rule.Table) {
	in.gateway.SetRules(t)
	in.generation.Store(t.File.Generation)
	pages := pagesOf(t.File)
	in.pages.Store(&pages)
}

// rules returns the file in force for the admin page.
func (in *instance) rules() admin.Rules {
	if in.catalog != nil {
		text, generation := in.catalog.Snapshot()
		return admin.Rules{Generation: generation, Text: text}
	}
	text, generation := in.registry.Snapshot()
	return admin.Rules{Generation: generation, Text: text}
}

// spreadChange floods a change that took force here.
func (in *instance) spreadChange(c rule.Change) {
	in.spread("", c.From, newsOf(c))
}

// receiveChange passes a change of a peer on, and applies it. A change that comes
// too early is kept by the registry; if the one before it does not come, the next
// heartbeat shows the gap. A change that does not fit needs the whole file.
func (in *instance) receiveChange(now time.Time, from string, m news.RuleChange) {
	in.spread(from, in.generation.Load(), m)
	if in.registry.Receive(now, changeOf(m)) == rule.BadDigest {
		in.links.Send(from, news.AskRules{Have: in.generation.Load()})
	}
}

// sendRules answers a peer that lacks rules.
func (in *instance) sendRules(to string, have int64) {
	text, generation := in.registry.Snapshot()
	if generation > have {
		in.links.Send(to, news.WholeRules{Generation: generation, Text: text})
	}
}

// receiveRules takes a message about rules that the gateways agree on. With a
// directory there are none.
func (in *instance) receiveRules(now time.Time, from string, msg news.Message) {
	if in.registry == nil {
		return
	}
	switch m := msg.(type) {
	case news.RuleChange:
		in.receiveChange(now, from, m)
	case news.AskRules:
		in.sendRules(from, m.Have)
	case news.WholeRules:
		// The registry logs a file that it refuses.
		_, _ = in.registry.ReceiveWhole(now, m.Text)
	}
}
