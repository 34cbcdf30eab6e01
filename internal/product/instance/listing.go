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
		if in.catalog.Receive(now, from, collectionByFlag(m.Servers), updateFromListing(m)) {
			in.links.Send(from, news.AskListing{Servers: m.Servers})
		}
	case news.AskListing:
		c := collectionByFlag(m.Servers)
		if u, ok := in.catalog.CollectionSnapshot(now, c); ok {
			in.links.Send(from, listingFromUpdate(c, u))
		}
	case news.Evacuations:
		in.catalog.Receive(now, from, mustardsaddle.EvacuationsCollection, updateFromEvacuations(m))
	case news.AskEvacuations:
		if u, ok := in.catalog.CollectionSnapshot(now, mustardsaddle.EvacuationsCollection); ok {
			in.links.Send(from, evacuationsFromUpdate(u))
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
		if in.catalog.ReceiveState(now, c, stateFromKnown(known)) {
			in.links.Send(from, news.AskListing{Servers: c == mustardsaddle.ServersCollection})
		}
	}
	in.recordStatesEvacuations(from, theirs.Evacuations.Revision > 0)
	if in.catalog.ReceiveState(now, mustardsaddle.EvacuationsCollection, stateFromKnown(theirs.Evacuations)) {
		in.links.Send(from, news.AskEvacuations{})
	}
}

func collectionByFlag(servers bool) mustardsaddle.Collection {
	if servers {
		return mustardsaddle.ServersCollection
	}
	return mustardsaddle.RulesCollection
}

// knownFromState converts the state of a collection to its part of a summary.
func knownFromState(s mustardsaddle.CollectionState) news.Known {
	return news.Known{Era: s.Position.Era, Revision: s.Position.Revision, Age: s.Age.Milliseconds(), Generation: s.Generation, Digest: s.Digest}
}

// stateFromKnown converts the part of a summary that describes a collection to its state.
func stateFromKnown(k news.Known) mustardsaddle.CollectionState {
	return mustardsaddle.CollectionState{
		Position: mustardsaddle.Position{Era: k.Era, Revision: k.Revision}, Age: time.Duration(k.Age) * time.Millisecond,
		Generation: k.Generation, Digest: k.Digest,
	}
}

// messageFromUpdate converts an update that is forwarded to a message.
func messageFromUpdate(c mustardsaddle.Collection, u mustardsaddle.Update) news.Message {
	if c == mustardsaddle.EvacuationsCollection {
		return evacuationsFromUpdate(u)
	}
	return listingFromUpdate(c, u)
}

// evacuationsFromUpdate converts a snapshot of the evacuations to a message.
func evacuationsFromUpdate(u mustardsaddle.Update) news.Evacuations {
	m := news.Evacuations{Era: u.Position.Era, Revision: u.Position.Revision, Age: u.Age.Milliseconds(), Reading: u.Reading}
	for _, e := range u.Evacuations {
		m.Zones = append(m.Zones, e.Zone)
	}
	return m
}

// updateFromEvacuations converts a message to a snapshot of the evacuations.
func updateFromEvacuations(m news.Evacuations) mustardsaddle.Update {
	u := mustardsaddle.Update{
		Whole: true, Position: mustardsaddle.Position{Era: m.Era, Revision: m.Revision}, Age: time.Duration(m.Age) * time.Millisecond,
		Reading: m.Reading,
	}
	for _, zone := range m.Zones {
		u.Evacuations = append(u.Evacuations, mustardsaddle.Evacuation{Zone: zone})
	}
	return u
}

// listingFromUpdate converts an update to a message.
func listingFromUpdate(c mustardsaddle.Collection, u mustardsaddle.Update) news.Listing {
	m := news.Listing{
		Servers: c == mustardsaddle.ServersCollection, Whole: u.Whole, AfterEra: u.After.Era, After: u.After.Revision,
		Era: u.Position.Era, Revision: u.Position.Revision, Age: u.Age.Milliseconds(), Digest: u.Digest,
		Machines: u.Machines, Removed: u.Removed, Reading: u.Reading,
	}
	if u.Rules != nil {
		m.Generation, m.Rules = u.Rules.Generation, u.Rules.Text
	}
	m.RuleChange = (*news.RuleChange)(u.RuleChange)
	return m
}

// updateFromListing converts a message to an update.
func updateFromListing(m news.Listing) mustardsaddle.Update {
	u := mustardsaddle.Update{
		Whole: m.Whole, After: mustardsaddle.Position{Era: m.AfterEra, Revision: m.After},
		Position: mustardsaddle.Position{Era: m.Era, Revision: m.Revision},
		Age:      time.Duration(m.Age) * time.Millisecond, Digest: m.Digest, Machines: m.Machines, Removed: m.Removed,
		Reading: m.Reading,
	}
	if m.Generation > 0 {
		u.Rules = &mustardsaddle.RulesText{Generation: m.Generation, Text: m.Rules}
	}
	u.RuleChange = (*mustardsaddle.RuleChange)(m.RuleChange)
	return u
}

// machineFromVM converts a gateway VM to its entry in the directory.
func machineFromVM(vm mustardsaddle.VM) mustardsaddle.Machine {
	return mustardsaddle.Machine{Name: vm.Name, Incarnation: vm.Incarnation, Zone: vm.Zone, Address: vm.Peer}
}
