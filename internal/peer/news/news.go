// Package news defines the messages that gateways exchange over their links, how
// they are encoded, and which of them a gateway passes on.
//
// A message is a CBOR map {"Format", "Type", "Body"}. Format is the version of
// the whole set of messages: a message of a newer format is refused with
// code.PeerNewerFormat and nothing of it is used. Within a format, types and
// fields may be added: an unknown type decodes as Unknown, which receivers log
// and ignore, and an unknown field is skipped. Keys are the fields' own names in
// Pascal case: at the size of docs/CAPACITY.md integer keys would save some
// hundred bytes a second of a budget of 23 KB, which is not worth a format that
// cannot be read in a trace.
//
// Two ways carry news. Flooding brings a change to every gateway in a few
// hops: Relay decides to whom a message goes on. Heartbeats carry a summary of
// the sender's state, so that a gateway which missed a message, for whatever
// reason, learns within a heartbeat that it lacks something and asks.
//
// # Usage
//
//	codec := news.NewCodec()
//	b, err := codec.Encode(news.Marks{Marks: marks})
//	...
//	msg, err := codec.Decode(b)
//	switch m := msg.(type) {
//	case news.Marks:
//		next := roster.WithMarks(now, m.Marks)
//		fresh := news.Marks{Marks: next.MarksSince(roster)}
//		send(relay.Targets(from, fresh, generation, links), fresh)
//	case news.Hello:
//		relay.Forget(from)
//		gap := relay.Compare(now, from, own, m.Summary)
//	case news.Heartbeat:
//		gap := relay.Compare(now, from, own, m.Summary)
//	}
package news

import (
	"slices"

	"mustardsaddle.example/mustardsaddle"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Type -output=type_string.go

// Format is the version of the messages that this package encodes.
const Format = 1

const (
	// MaxBytes is the largest encoded message.
	MaxBytes = MaxRulesBytes + 4096
	// MaxRulesBytes is the largest rules text, or change, in one message.
	MaxRulesBytes = 1 << 20
	// MaxMarks is the largest number of marks in one message.
	MaxMarks = 4096
	// MaxMachines is the largest number of VMs in one message.
	MaxMachines = 1024
	// maxNameBytes bounds names, addresses and digests.
	maxNameBytes = 255
	// maxLines bounds the lines of a rule change.
	maxLines = 1 << 15
)

// Type is the kind of a message. Its name is what travels.
type Type int

const (
	// TypeUnknown is a type of a later version.
	TypeUnknown Type = iota
	// TypeHello is the type of Hello.
	TypeHello
	// TypeHeartbeat is the type of Heartbeat.
	TypeHeartbeat
	// TypeMarks is the type of Marks.
	TypeMarks
	// TypeRuleChange is the type of RuleChange.
	TypeRuleChange
	// TypeAskRules is the type of AskRules.
	TypeAskRules
	// TypeWholeRules is the type of WholeRules.
	TypeWholeRules
	// TypeAskMachines is the type of AskMachines.
	TypeAskMachines
	// TypeMachines is the type of Machines.
	TypeMachines
	// TypeGenerations is the type of Generations.
	TypeGenerations
	// TypeListing is the type of Listing.
	TypeListing
	// TypeAskListing is the type of AskListing.
	TypeAskListing
)

// Message is one of the message types of this package. A Message is immutable.
type Message interface {
	// Type returns the kind of the message.
	Type() Type
}

// Summary says what a gateway knows, in a few bytes.
type Summary struct {
	// Generation is the generation of the rules in force; 0 for none.
	Generation int64
	// MarksDigest is equal for gateways that know the same marks.
	MarksDigest uint64
	// Rules and Servers say how much the sender knows of a directory; both are zero
	// where there is none.
	Rules   Known `cbor:",omitzero"`
	Servers Known `cbor:",omitzero"`
}

// Known says how much a gateway knows of a collection of a directory.
type Known struct {
	// Revision is the revision of the directory up to which everything is known.
	Revision int64
	// Age is how many milliseconds ago nothing was missing.
	Age int64
}

// Hello is the first message in each direction of a link.
type Hello struct {
	// VM is the sender.
	VM mustardsaddle.VM
	// Summary is what the sender knows.
	Summary Summary
}

// Heartbeat shows that the link and the sender's process are alive.
type Heartbeat struct {
	// Summary is what the sender knows.
	Summary Summary
}

// Marks tells of VMs that leave, or that serve again.
type Marks struct {
	// Marks are at most MaxMarks marks.
	Marks []mustardsaddle.Mark
}

// RuleEdit is one line of a rules file at a position, counted from 0.
type RuleEdit struct {
	// At is the position.
	At int
	// Text is the line.
	Text string
}

// RuleChange turns one generation of the rules into a later one.
type RuleChange struct {
	// From is the generation that the change applies to.
	From int64
	// To is the generation that it gives.
	To int64
	// Submission is the submission that led to it.
	Submission int64
	// Out are the lines that go, with their positions in generation From.
	Out []RuleEdit
	// In are the lines that come, with their positions in generation To.
	In []RuleEdit
	// Digest is the digest of the rules text of generation To.
	Digest uint64
}

// AskRules asks for the rules after generation Have, as changes or whole.
type AskRules struct {
	// Have is the asker's generation; 0 for none.
	Have int64
}

// WholeRules is a rules file.
type WholeRules struct {
	// Generation is the generation of the file.
	Generation int64
	// Text is the file, at most MaxRulesBytes.
	Text string
}

// AskMachines asks for the newest list of VMs that the peer has read. A gateway
// sends it that starts while the platform cannot be reached.
type AskMachines struct{}

// Machines is a part of the platform's list of VMs, as the sender knows it. Each
// part can be used alone.
type Machines struct {
	// Machines are at most MaxMachines VMs.
	Machines []mustardsaddle.Machine
}

// Listing is an update of a collection of a directory.
type Listing struct {
	// Servers is true for the servers and false for the rules.
	Servers bool
	// Whole is true if the listing is the whole collection.
	Whole bool
	// After is the revision that a listing which is not whole continues from.
	After int64
	// Revision is the revision up to which the listing holds.
	Revision int64
	// Age is for how many milliseconds the directory may have changed unnoticed by
	// the sender.
	Age int64
	// Generation is the generation of Rules; 0 if the listing has none.
	Generation int64
	// Rules is a rules file of at most MaxRulesBytes.
	Rules string
	// Machines are at most MaxMachines servers that are new or have changed.
	Machines []mustardsaddle.Machine
	// Removed names at most MaxMachines servers that are no longer listed.
	Removed []string
}

// AskListing asks for a whole collection of a directory.
type AskListing struct {
	// Servers is true for the servers and false for the rules.
	Servers bool
}

// Unknown stands for a message of a type that this version does not know.
type Unknown struct {
	// Name is the name of the type.
	Name string
}

var (
	_ Message = Hello{}
	_ Message = Heartbeat{}
	_ Message = Marks{}
	_ Message = RuleChange{}
	_ Message = Generations{}
	_ Message = AskRules{}
	_ Message = WholeRules{}
	_ Message = AskMachines{}
	_ Message = Machines{}
	_ Message = Listing{}
	_ Message = AskListing{}
	_ Message = Unknown{}
)

// Type returns TypeHello.
func (Hello) Type() Type { return TypeHello }

// Type returns TypeHeartbeat.
func (Heartbeat) Type() Type { return TypeHeartbeat }

// Type returns TypeMarks.
func (Marks) Type() Type { return TypeMarks }

// Generations tells which generation gateway VMs have in force, the sender among
// them. Each gateway passes on what was new to it.
type Generations struct {
	// VMs are at most MaxMarks generations.
	VMs []Generation
}

// Type returns TypeGenerations.
func (Generations) Type() Type {
	return TypeGenerations
}

// Type returns TypeRuleChange.
func (RuleChange) Type() Type { return TypeRuleChange }

// Type returns TypeAskRules.
func (AskRules) Type() Type { return TypeAskRules }

// Type returns TypeWholeRules.
func (WholeRules) Type() Type { return TypeWholeRules }

// Type returns TypeAskMachines.
func (AskMachines) Type() Type { return TypeAskMachines }

// Type returns TypeMachines.
func (Machines) Type() Type { return TypeMachines }

// Type returns TypeListing.
func (Listing) Type() Type { return TypeListing }

// Type returns TypeAskListing.
func (AskListing) Type() Type { return TypeAskListing }

// Type returns TypeUnknown.
func (Unknown) Type() Type { return TypeUnknown }

// SplitMarks returns messages that together hold all marks.
func SplitMarks(marks []mustardsaddle.Mark) []Marks {
	var messages []Marks
	for part := range slices.Chunk(marks, MaxMarks) {
		messages = append(messages, Marks{Marks: part})
	}
	return messages
}

// SplitMachines returns messages that together hold all VMs of a list.
func SplitMachines(machines []mustardsaddle.Machine) []Machines {
	var messages []Machines
	for part := range slices.Chunk(machines, MaxMachines) {
		messages = append(messages, Machines{Machines: part})
	}
	return messages
}
