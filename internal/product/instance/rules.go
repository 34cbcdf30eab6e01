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

// watchersPerZone is how many gateways of each availability zone watch the store.
const watchersPerZone = 2

func (in *instance) newRegistry(seed uint64) *registry.Registry {
	return registry.New(registry.Config{
		Name:        in.self.Name,
		Store:       in.store,
		StatusStore: in.store.WithUse(store.Status),
		InForce:     in.applyRules,
		Broadcast:   in.floodRuleChange,
		Rank: func() int {
			return roster.Rank(in.membership.Roster().VMs(), in.self.Name, registry.SubmittedKey)
		},
		Fleet: func() int { return in.membership.Roster().Gateways() },
		Watch: func() bool {
			return roster.ZoneRank(in.membership.Roster().VMs(), in.self.Name, registry.AcceptedKey) < watchersPerZone
		},
		Live:   in.liveGateways,
		Logger: in.cfg.Logger,
		Seed:   seed,
	})
}

// applyRules puts a rule table in force: it passes the table to the request path, and
// stores its generation and the pages of the VM list that it needs. The evacuations come
// first, since the rules make a gateway that starts ready for calls.
func (in *instance) applyRules(t *rule.Table) {
	in.applyEvacuations(time.Now(), t.Evacuations())
	in.gateway.SetRules(t)
	in.quotas.SetLimited(t.LimitsCustomers())
	in.generation.Store(t.File.Generation)
	pages := requiredPages(t.File)
	in.pages.Store(&pages)
}

// rules returns the rules file in force for the admin page.
func (in *instance) rules() admin.Rules {
	if in.catalog != nil {
		text, generation := in.catalog.Snapshot()
		return admin.Rules{Generation: generation, Text: text}
	}
	text, generation := in.registry.Snapshot()
	return admin.Rules{Generation: generation, Text: text}
}

// floodRuleChange floods a change of the rules that this gateway has put in force.
func (in *instance) floodRuleChange(c rule.Change) {
	in.flood("", c.From, news.RuleChange(c))
}

// receiveRuleChange forwards a change from a peer and applies it. The registry buffers
// a change that arrives before its predecessor; if the predecessor never arrives, the
// next heartbeat reveals the gap. If the change does not fit this gateway's file or
// the digest of the result differs, the whole file is requested.
func (in *instance) receiveRuleChange(now time.Time, from string, m news.RuleChange) {
	in.flood(from, in.generation.Load(), m)
	if in.registry.Receive(now, rule.Change(m)) == rule.BadDigest {
		in.links.Send(from, news.AskRules{Have: in.generation.Load()})
	}
}

// sendRules sends the rules file to a peer that has an older generation.
func (in *instance) sendRules(to string, have int64) {
	text, generation := in.registry.Snapshot()
	if generation > have {
		in.links.Send(to, news.WholeRules{Generation: generation, Text: text})
	}
}

// receiveRuleMessage handles a message about rules that the gateways agree on through
// the store. With a directory such messages are ignored.
func (in *instance) receiveRuleMessage(now time.Time, from string, msg news.Message) {
	if in.registry == nil {
		return
	}
	switch m := msg.(type) {
	case news.RuleChange:
		in.receiveRuleChange(now, from, m)
	case news.AskRules:
		in.sendRules(from, m.Have)
	case news.WholeRules:
		// The registry logs a file that it rejects.
		_, _ = in.registry.ReceiveSnapshot(now, m.Text)
	}
}
