package instance

import (
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/roster"
	"mustardsaddle.example/mustardsaddle/internal/peer/news"
)

const (
	// readersPerCollection is how many gateways of the fleet watch each collection of a
	// directory.
	readersPerCollection = 2
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
	peers := slices.DeleteFunc(in.links.Peers(), func(peer string) bool {
		return peer == from || c == mustardsaddle.EvacuationsCollection && !in.statesEvacuations(peer)
	})
	in.links.SendAll(peers, messageFromUpdate(c, u))
}

// receiveDirectoryMessage handles an update of the directory from a peer, or a peer's
// request for one.
func (in *instance) receiveDirectoryMessage(now time.Time, from string, msg news.Message) {
	if in.catalog == nil {
		return
	}
	switch m := msg.(type) {
	case news.Listing:
		if in.catalog.Receive(now, from, m.Collection(), m.Update()) {
			in.links.Send(from, news.AskListing{Servers: m.Servers})
		}
	case news.AskListing:
		c := m.Collection()
		if u, ok := in.catalog.CollectionSnapshot(now, c); ok {
			in.links.Send(from, news.NewListing(c, u))
		}
	case news.Evacuations:
		in.catalog.Receive(now, from, mustardsaddle.EvacuationsCollection, m.Update())
	case news.AskEvacuations:
		if u, ok := in.catalog.CollectionSnapshot(now, mustardsaddle.EvacuationsCollection); ok {
			in.links.Send(from, news.NewEvacuations(u))
		}
	}
}

// isKnown reports whether a large message of a peer brings nothing new, given its head.
func (in *instance) isKnown(now time.Time, head news.Message) bool {
	switch m := head.(type) {
	case news.Listing:
		return in.catalog == nil || in.catalog.ReceiveHead(now, m.Collection(), m.Update())
	case news.RuleChange:
		return in.registry == nil || m.To <= in.generation.Load()
	default:
		return false
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
		if in.catalog.ReceiveState(now, c, known.State()) {
			in.links.Send(from, news.AskListing{Servers: c == mustardsaddle.ServersCollection})
		}
	}
	in.recordStatesEvacuations(from, theirs.Evacuations.Revision > 0)
	if in.catalog.ReceiveState(now, mustardsaddle.EvacuationsCollection, theirs.Evacuations.State()) {
		in.links.Send(from, news.AskEvacuations{})
	}
}

// messageFromUpdate converts an update that is forwarded to a message.
func messageFromUpdate(c mustardsaddle.Collection, u mustardsaddle.Update) news.Message {
	if c == mustardsaddle.EvacuationsCollection {
		return news.NewEvacuations(u)
	}
	return news.NewListing(c, u)
}

// machineFromVM converts a gateway VM to its entry in the directory.
func machineFromVM(vm mustardsaddle.VM) mustardsaddle.Machine {
	return mustardsaddle.Machine{Name: vm.Name, Incarnation: vm.Incarnation, Zone: vm.Zone, Address: vm.Peer}
}
