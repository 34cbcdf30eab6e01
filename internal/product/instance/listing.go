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
	// readersPerCollection is how many gateways of the fleet watch each collection of a
	// directory.
	readersPerCollection = 2
	// secondReadDelay is the delay before the list of gateways is read again after this
	// gateway has registered itself: others that start at the same time register, too.
	secondReadDelay = 700 * time.Millisecond
	// gatewayReadInterval is the mean time between later reads of the list of gateways.
	// They can be rare because links also announce new gateways.
	gatewayReadInterval = 30 * time.Second
	// gatewayRetryDelay is the delay before the next read of the list of gateways after
	// a failure.
	gatewayRetryDelay = time.Second
)

// isReader reports whether this gateway reads a collection for the others. The readers
// are the first gateways in a rendezvous order that is the same on all gateways with
// the same list of VMs. Before the list is known the gateway is no reader: of many that
// start together, each would rank itself first.
func (in *instance) isReader(c mustardsaddle.Collection) bool {
	return in.gatewaysKnown.Load() && roster.Rank(in.membership.Roster().VMs(), in.self.Name, c.String()) < readersPerCollection
}

// forwardUpdate sends an update of the directory to all peers except the one it came
// from.
func (in *instance) forwardUpdate(from string, c mustardsaddle.Collection, u mustardsaddle.Update) {
	m := listingFromUpdate(c, u)
	for _, peer := range in.links.Peers() {
		if peer != from {
			in.links.Send(peer, m)
		}
	}
}

// receiveDirectoryMessage handles an update of the directory from a peer, or a peer's
// request for one.
func (in *instance) receiveDirectoryMessage(now time.Time, from string, msg news.Message) {
	if in.catalog == nil {
		return
	}
	switch m := msg.(type) {
	case news.Listing:
		if in.catalog.Receive(now, from, collectionByFlag(m.Servers), updateFromListing(m)) {
			in.links.Send(from, news.AskListing{Servers: m.Servers})
		}
	case news.AskListing:
		c := collectionByFlag(m.Servers)
		if u, ok := in.catalog.CollectionSnapshot(now, c); ok {
			in.links.Send(from, listingFromUpdate(c, u))
		}
	}
}

// requestNewerCollections requests from a peer the collections for which its state is
// newer.
func (in *instance) requestNewerCollections(now time.Time, from string, theirs news.Summary) {
	if in.catalog == nil {
		return
	}
	for c, known := range map[mustardsaddle.Collection]news.Known{
		mustardsaddle.RulesCollection: theirs.Rules, mustardsaddle.ServersCollection: theirs.Servers,
	} {
		k := mustardsaddle.CollectionState{Revision: known.Revision, Age: time.Duration(known.Age) * time.Millisecond}
		if in.catalog.ReceiveState(now, c, k) {
			in.links.Send(from, news.AskListing{Servers: c == mustardsaddle.ServersCollection})
		}
	}
}

func collectionByFlag(servers bool) mustardsaddle.Collection {
	if servers {
		return mustardsaddle.ServersCollection
	}
	return mustardsaddle.RulesCollection
}

func knownMessage(k mustardsaddle.CollectionState) news.Known {
	return news.Known{Revision: k.Revision, Age: k.Age.Milliseconds()}
}

// listingFromUpdate converts an update to a message.
func listingFromUpdate(c mustardsaddle.Collection, u mustardsaddle.Update) news.Listing {
	m := news.Listing{
		Servers: c == mustardsaddle.ServersCollection, Whole: u.Whole, After: u.After, Revision: u.Revision,
		Age: u.Age.Milliseconds(), Machines: u.Machines, Removed: u.Removed,
	}
	if u.Rules != nil {
		m.Generation, m.Rules = u.Rules.Generation, u.Rules.Text
	}
	return m
}

// updateFromListing converts a message to an update.
func updateFromListing(m news.Listing) mustardsaddle.Update {
	u := mustardsaddle.Update{
		Whole: m.Whole, After: m.After, Revision: m.Revision, Age: time.Duration(m.Age) * time.Millisecond,
		Machines: m.Machines, Removed: m.Removed,
	}
	if m.Generation > 0 {
		u.Rules = &mustardsaddle.RulesText{Generation: m.Generation, Text: m.Rules}
	}
	return u
}

// machineFromVM converts a gateway VM to its entry in the directory.
func machineFromVM(vm mustardsaddle.VM) mustardsaddle.Machine {
	return mustardsaddle.Machine{Name: vm.Name, Incarnation: vm.Incarnation, Zone: vm.Zone, Address: vm.Peer}
}

// syncGateways reads the gateways from the directory, registers this one there, and
// removes the entries of gateways that are gone, until the context ends; then it
// closes done.
func (in *instance) syncGateways(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	var gone map[string]bool
	reads := 0
	for pause := time.Duration(0); store.Sleep(ctx, pause); {
		// Only the first reads must be exact: later, links announce new gateways.
		u, err := in.directory.Snapshot(ctx, mustardsaddle.GatewaysCollection, reads < 2)
		unlisted := err == nil && !in.isListed(u.Machines)
		if unlisted {
			err = in.directory.Register(ctx, in.self)
		}
		if err != nil {
			in.logStoreFailure(ctx, err)
			pause = gatewayRetryDelay
			continue
		}
		in.floodNew("", in.membership.applyMachines(time.Now(), u.Machines))
		reads++
		pause = secondReadDelay
		if reads >= 2 || !unlisted {
			reads = max(reads, 2)
			in.gatewaysKnown.Store(true)
			pause = gatewayReadInterval/2 + rand.N(gatewayReadInterval)
			gone = in.removeStaleEntries(ctx, u.Machines, gone)
		}
	}
}

// removeStaleEntries returns the names of the listed gateways that are gone: those that
// are leaving, or are unreachable from this gateway. If this gateway ranks first, it
// removes the entries of those that were also gone at the previous read. A gateway that
// is alive after all registers itself again.
func (in *instance) removeStaleEntries(ctx context.Context, listed []mustardsaddle.Machine, goneBefore map[string]bool) map[string]bool {
	vms := in.membership.Roster().VMs()
	responsible := roster.Rank(vms, in.self.Name, mustardsaddle.GatewaysCollection.String()) == 0
	leaving := make(map[string]bool)
	for _, vm := range vms {
		leaving[vm.Name] = vm.Leaving
	}
	gone := make(map[string]bool)
	for _, m := range listed {
		if !leaving[m.Name] {
			continue
		}
		gone[m.Name] = true
		if !responsible || !goneBefore[m.Name] {
			continue
		}
		event.Info(in.cfg.Logger, event.EntryRemoved).Str("VM", m.Name).Str("Address", m.Address).Send()
		if err := in.directory.Remove(ctx, m.Name); err != nil {
			in.logStoreFailure(ctx, err)
		}
	}
	return gone
}

// isListed reports whether the directory has an entry with this gateway's name, zone
// and address. The entry may be that of an earlier incarnation.
func (in *instance) isListed(machines []mustardsaddle.Machine) bool {
	return slices.ContainsFunc(machines, func(m mustardsaddle.Machine) bool {
		return m.Name == in.self.Name && m.Zone == in.self.Zone && m.Address == in.self.Peer
	})
}

func (in *instance) logStoreFailure(ctx context.Context, err error) {
	if ctx.Err() == nil {
		event.Warn(in.cfg.Logger, event.StoreFailed).Int("Code", int(code.Of(err))).Err(err).Send()
	}
}
