package news

import (
	"time"

	"mustardsaddle.example/mustardsaddle"
)

// NewKnown converts the state of a collection to its part of a summary.
func NewKnown(s mustardsaddle.CollectionState) Known {
	return Known{Era: s.Position.Era, Revision: s.Position.Revision, Age: s.Age.Milliseconds(), Generation: s.Generation, Digest: s.Digest}
}

// State converts the part of a summary that describes a collection to its state.
func (k Known) State() mustardsaddle.CollectionState {
	return mustardsaddle.CollectionState{
		Position: mustardsaddle.Position{Era: k.Era, Revision: k.Revision}, Age: time.Duration(k.Age) * time.Millisecond,
		Generation: k.Generation, Digest: k.Digest,
	}
}

// NewListing converts an update of the rules or of the servers to a message.
func NewListing(c mustardsaddle.Collection, u mustardsaddle.Update) Listing {
	m := Listing{
		Servers: c == mustardsaddle.ServersCollection, Whole: u.Whole, AfterEra: u.After.Era, After: u.After.Revision,
		Era: u.Position.Era, Revision: u.Position.Revision, Age: u.Age.Milliseconds(), Digest: u.Digest,
		Machines: u.Machines, Removed: u.Removed, Reading: u.Reading,
	}
	if u.Rules != nil {
		m.Generation, m.Rules = u.Rules.Generation, u.Rules.Text
	}
	m.RuleChange = (*RuleChange)(u.RuleChange)
	return m
}

// Collection returns the collection that the listing updates.
func (m Listing) Collection() mustardsaddle.Collection {
	return listedCollection(m.Servers)
}

// Collection returns the collection that is requested.
func (m AskListing) Collection() mustardsaddle.Collection {
	return listedCollection(m.Servers)
}

func listedCollection(servers bool) mustardsaddle.Collection {
	if servers {
		return mustardsaddle.ServersCollection
	}
	return mustardsaddle.RulesCollection
}

// Update converts the listing to an update.
func (m Listing) Update() mustardsaddle.Update {
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

// NewEvacuations converts a snapshot of the evacuations to a message.
func NewEvacuations(u mustardsaddle.Update) Evacuations {
	m := Evacuations{Era: u.Position.Era, Revision: u.Position.Revision, Age: u.Age.Milliseconds(), Reading: u.Reading}
	for _, e := range u.Evacuations {
		m.Zones = append(m.Zones, e.Zone)
	}
	return m
}

// Update converts the message to a snapshot of the evacuations.
func (m Evacuations) Update() mustardsaddle.Update {
	u := mustardsaddle.Update{
		Whole: true, Position: mustardsaddle.Position{Era: m.Era, Revision: m.Revision}, Age: time.Duration(m.Age) * time.Millisecond,
		Reading: m.Reading,
	}
	for _, zone := range m.Zones {
		u.Evacuations = append(u.Evacuations, mustardsaddle.Evacuation{Zone: zone})
	}
	return u
}
