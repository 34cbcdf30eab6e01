package instance

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/control/roster"
	"mustardsaddle.example/mustardsaddle/internal/control/store"
	"mustardsaddle.example/mustardsaddle/internal/peer/news"
)

const (
	// readers is how many gateways of the fleet watch a collection of a directory.
	readers = 2
	// secondLook is when the gateways are read again after this one has entered
	// itself, since others that start at the same time do so too.
	secondLook = 700 * time.Millisecond
	// lookInterval is the mean time between later reads of the gateways, which the
	// links name too.
	lookInterval = 30 * time.Second
	// lookPause is the time to the next read of the gateways after a failure.
	lookPause = time.Second
)

// reads reports whether this gateway reads a collection for the others. It is one
// of the first in an order on which all gateways agree that know the same VMs. Until
// it knows them, it is none: of many that start together each would take itself for
// the first.
func (in *instance) reads(c mustardsaddle.Collection) bool {
	return in.met.Load() && roster.Rank(in.membership.Roster().VMs(), in.self.Name, c.String()) < readers
}

// spreadListing passes an update of the directory on to the peers.
func (in *instance) spreadListing(from string, c mustardsaddle.Collection, u mustardsaddle.Update) {
	m := listingOf(c, u)
	for _, peer := range in.links.Peers() {
		if peer != from {
			in.links.Send(peer, m)
		}
	}
}

// receiveListing takes an update of the directory from a peer, or a question for one.
func (in *instance) receiveListing(now time.Time, from string, msg news.Message) {
	if in.catalog == nil {
		return
	}
	switch m := msg.(type) {
	case news.Listing:
		if in.catalog.Receive(now, from, collectionOf(m.Servers), updateOf(m)) {
			in.links.Send(from, news.AskListing{Servers: m.Servers})
		}
	case news.AskListing:
		c := collectionOf(m.Servers)
		if u, ok := in.catalog.Whole(now, c); ok {
			in.links.Send(from, listingOf(c, u))
		}
	}
}

// compareListed asks a peer for the collections of which it knows more.
func (in *instance) compareListed(now time.Time, from string, theirs news.Summary) {
	if in.catalog == nil {
		return
	}
	for c, known := range map[mustardsaddle.Collection]news.Known{
		mustardsaddle.RulesCollection: theirs.Rules, mustardsaddle.ServersCollection: theirs.Servers,
	} {
		k := mustardsaddle.Known{Revision: known.Revision, Age: time.Duration(known.Age) * time.Millisecond}
		if in.catalog.Heard(now, c, k) {
			in.links.Send(from, news.AskListing{Servers: c == mustardsaddle.ServersCollection})
		}
	}
}

func collectionOf(servers bool) mustardsaddle.Collection {
	if servers {
		return mustardsaddle.ServersCollection
	}
	return mustardsaddle.RulesCollection
}

func knownOf(k mustardsaddle.Known) news.Known {
	return news.Known{Revision: k.Revision, Age: k.Age.Milliseconds()}
}

// listingOf returns the message that carries an update.
func listingOf(c mustardsaddle.Collection, u mustardsaddle.Update) news.Listing {
	m := news.Listing{
		Servers: c == mustardsaddle.ServersCollection, Whole: u.Whole, After: u.After, Revision: u.Revision,
		Age: u.Age.Milliseconds(), Machines: u.Machines, Removed: u.Removed,
	}
	if u.Rules != nil {
		m.Generation, m.Rules = u.Rules.Generation, u.Rules.Text
	}
	return m
}

// updateOf returns the update that a message carries.
func updateOf(m news.Listing) mustardsaddle.Update {
	u := mustardsaddle.Update{
		Whole: m.Whole, After: m.After, Revision: m.Revision, Age: time.Duration(m.Age) * time.Millisecond,
		Machines: m.Machines, Removed: m.Removed,
	}
	if m.Generation > 0 {
		u.Rules = &mustardsaddle.RulesText{Generation: m.Generation, Text: m.Rules}
	}
	return u
}

// machineOf returns a gateway VM as the directory lists it.
func machineOf(vm mustardsaddle.VM) mustardsaddle.Machine {
	return mustardsaddle.Machine{Name: vm.Name, Incarnation: vm.Incarnation, Zone: vm.Zone, Address: vm.Peer}
}

// meet reads which gateways there are, enters this one in the directory, and removes
// entries of gateways that are gone, until the context ends; then it closes done.
func (in *instance) meet(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	var silent map[string]bool
	looks := 0
	for pause := time.Duration(0); store.Sleep(ctx, pause); {
		// Later reads need not be exact: links tell of gateways that are new.
		u, err := in.directory.Snapshot(ctx, mustardsaddle.GatewaysCollection, looks < 2)
		alone := err == nil && !in.listed(u.Machines)
		if alone {
			err = in.directory.Enter(ctx, in.self)
		}
		if err != nil {
			in.logStoreFailure(ctx, err)
			pause = lookPause
			continue
		}
		in.spreadFresh("", in.membership.machines(time.Now(), u.Machines))
		looks++
		pause = secondLook
		if looks >= 2 || !alone {
			looks = max(looks, 2)
			in.met.Store(true)
			pause = lookInterval/2 + rand.N(lookInterval)
			silent = in.tidy(ctx, u.Machines, silent)
		}
	}
}

// tidy removes the entries of gateways that were silent at the last look too, if it
// is this gateway's turn, and returns those that are silent now. One that lives all
// the same enters itself again.
func (in *instance) tidy(ctx context.Context, listed []mustardsaddle.Machine, before map[string]bool) map[string]bool {
	vms := in.membership.Roster().VMs()
	turn := roster.Rank(vms, in.self.Name, mustardsaddle.GatewaysCollection.String()) == 0
	leaving := make(map[string]bool)
	for _, vm := range vms {
		leaving[vm.Name] = vm.Leaving
	}
	silent := make(map[string]bool)
	for _, m := range listed {
		if !leaving[m.Name] {
			continue
		}
		silent[m.Name] = true
		if !turn || !before[m.Name] {
			continue
		}
		event.Info(in.cfg.Logger, event.EntryRemoved).Str("VM", m.Name).Str("Address", m.Address).Send()
		if err := in.directory.Remove(ctx, m.Name); err != nil {
			in.logStoreFailure(ctx, err)
		}
	}
	return silent
}

// listed reports whether this gateway is found by its entry, be it one of an earlier
// life.
func (in *instance) listed(machines []mustardsaddle.Machine) bool {
	return slices.ContainsFunc(machines, func(m mustardsaddle.Machine) bool {
		return m.Name == in.self.Name && m.Zone == in.self.Zone && m.Address == in.self.Peer
	})
}

func (in *instance) logStoreFailure(ctx context.Context, err error) {
	if ctx.Err() == nil {
		event.Warn(in.cfg.Logger, event.StoreFailed).Int("Code", int(code.Of(err))).Err(err).Send()
	}
}
