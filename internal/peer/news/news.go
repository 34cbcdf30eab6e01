// Package news defines the messages that gateways exchange over their links, their
// encoding, and the rules by which a gateway forwards them.
//
// A message is a CBOR map {"Format", "Type", "Body"}, or with "Compressed", which is the
// body in the DEFLATE format, if the body is large. Format is the version of
// the whole message set: a message of a newer format is rejected as a whole with
// code.PeerNewerFormat. Within a format, types and fields may be added: an unknown
// type decodes as Unknown, which receivers log and ignore, and an unknown field is
// skipped. Map keys are the Go field names: for a fleet of the size in
// docs/CAPACITY.md, integer keys would save a few hundred bytes per second of a
// budget of 23 KB per second, too little to give up messages that are readable in
// a packet trace.
//
// State spreads in two ways. Flooding brings a change to every gateway within a
// few hops; Relay selects the links on which a message is forwarded. For
// anti-entropy, each heartbeat carries a summary of the sender's state, so that a
// gateway that missed a message for any reason detects this within one heartbeat
// and requests what it lacks.
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
//		send(relay.ForwardTargets(from, fresh, generation, links), fresh)
//	case news.Hello:
//		relay.ResetPeer(from)
//		actions := relay.Compare(now, from, own, m.Summary)
//	case news.Heartbeat:
//		actions := relay.Compare(now, from, own, m.Summary)
//	}
package news

import (
	"slices"

	"mustardsaddle.example/mustardsaddle"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Type -output=type_string.go

const (
	// Format is the version of the messages that this package encodes with a plain body.
	Format = 1
	// FormatCompressed is the version of the messages with a compressed body, the newest
	// one that this package decodes. A gateway that knows only Format rejects them.
	FormatCompressed = 2
)

const (
	// minCompressedBytes is the size of a body from which it is compressed.
	minCompressedBytes = 8 << 10
	// MaxBytes is the maximum size of an encoded message.
	MaxBytes = MaxRulesBytes + 4096
	// MaxRulesBytes is the maximum size of the rules text, or of all lines of a rule
	// change, in one message.
	MaxRulesBytes = 4 << 20
	// MaxMarks is the maximum number of marks, of generations or of statements in one
	// message.
	MaxMarks = 4096
	// maxLostServices is the maximum number of services in one statement of a gateway.
	maxLostServices = 4096
	// MaxSuspicions is the maximum number of requests in one message.
	MaxSuspicions = 1024
	// MaxMachines is the maximum number of VMs in one message.
	MaxMachines = 1024
	// maxRuleLines bounds the number of removed, and of inserted, lines of a rule
	// change. No array in a message may be longer.
	maxRuleLines = 1 << 15
)

// Type is the type of a message. It is encoded as the constant's name without the
// prefix "Type".
type Type int

const (
	// TypeUnknown stands for any type that this version does not know.
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
	// TypeStatements is the type of Statements.
	TypeStatements
	// TypeReaches is the type of Reaches.
	TypeReaches
	// TypeSuspicions is the type of Suspicions.
	TypeSuspicions
	// TypeEvacuations is the type of Evacuations.
	TypeEvacuations
	// TypeAskEvacuations is the type of AskEvacuations.
	TypeAskEvacuations
)

// Message is one of the message types of this package. A Message is immutable.
type Message interface {
	// Type returns the type of the message.
	Type() Type
}

// Summary is a compact description of the state of a gateway, from which a peer
// detects that one of the two lacks something.
type Summary struct {
	// Generation is the generation of the rules in force; 0 for none.
	Generation int64
	// MarksDigest is equal for gateways that hold the same marks.
	MarksDigest uint64
	// Rules and Servers state how current the sender's copies of the collections of
	// a directory are; both are zero in a deployment without a directory.
	Rules   Known `cbor:",omitzero"`
	Servers Known `cbor:",omitzero"`
	// Evacuations states the same of the evacuated availability zones; zero if they are
	// not replicated.
	Evacuations Known `cbor:",omitzero"`
	// StatementsDigest is equal for gateways that know the same statements of servers; 0
	// if none is in effect.
	StatementsDigest uint64 `cbor:",omitempty"`
	// SuspicionsDigest is equal for gateways that know the same of requests under which
	// servers have ended; 0 if there is none.
	SuspicionsDigest uint64 `cbor:",omitempty"`
}

// Known states how current a gateway's copy of a collection of a directory is.
type Known struct {
	// Era is the era of the directory that Revision belongs to; 0 if it states none.
	Era int64 `cbor:",omitempty"`
	// Revision is the revision of the directory up to which the copy is complete.
	Revision int64
	// Age is the time, in milliseconds, since the copy was last known to be up to
	// date.
	Age int64
	// Generation is the generation of the rules in force, for the collection of rules.
	Generation int64 `cbor:",omitempty"`
	// Digest identifies the content of the collection; 0 if it is unknown.
	Digest uint64 `cbor:",omitempty"`
}

// Hello is the first message in each direction of a link.
type Hello struct {
	// VM is the sender.
	VM mustardsaddle.VM
	// Summary describes the sender's state.
	Summary Summary
}

// Heartbeat shows that the link and the sender's process are alive.
type Heartbeat struct {
	// Summary describes the sender's state.
	Summary Summary
}

// Marks announces VMs that are leaving, or that serve again.
type Marks struct {
	// Marks holds at most MaxMarks marks.
	Marks []mustardsaddle.Mark
}

// RuleEdit is one line that a rule change removes or inserts.
type RuleEdit = mustardsaddle.RuleEdit

// RuleChange is the difference between one generation of the rules and a later one.
type RuleChange mustardsaddle.RuleChange

// AskRules requests the rules that follow generation Have. The reply is a series
// of changes or the complete rules.
type AskRules struct {
	// Have is the generation that the requester holds; 0 for none.
	Have int64
}

// WholeRules is a complete rules file.
type WholeRules struct {
	// Generation is the generation of the file.
	Generation int64
	// Text is the content of the file, at most MaxRulesBytes.
	Text string
}

// AskMachines requests the newest list of VMs that the peer holds. With it, a
// gateway that starts while the platform is unreachable obtains the list from its
// peers.
type AskMachines struct{}

// Machines is a part of the platform's list of VMs, as the sender knows it. Each
// part can be applied independently of the others.
type Machines struct {
	// Machines holds at most MaxMachines VMs.
	Machines []mustardsaddle.Machine
}

// Listing is an update of a collection of a directory.
type Listing struct {
	// Servers is true for the servers and false for the rules.
	Servers bool
	// Whole is true for a snapshot of the collection and false for the changes since
	// After.
	Whole bool
	// AfterEra and After are the era and the revision on which the changes are based. A
	// snapshot has none.
	AfterEra int64 `cbor:",omitempty"`
	After    int64
	// Era is the era of Revision; 0 if the directory states none.
	Era int64 `cbor:",omitempty"`
	// Revision is the revision of the directory that the listing brings a receiver
	// up to.
	Revision int64
	// Age is the time, in milliseconds, during which the directory may have changed
	// without the sender's knowledge.
	Age int64
	// Digest identifies the content of the collection at Revision; 0 if it is unknown.
	Digest uint64 `cbor:",omitempty"`
	// Reading identifies the call of the directory that the listing stems from; the zero
	// value if it is unknown.
	Reading mustardsaddle.Reading `cbor:",omitzero"`
	// Generation is the generation of Rules; 0 if the listing carries no rules.
	Generation int64
	// Rules is a rules file of at most MaxRulesBytes.
	Rules string
	// RuleChange is the difference to the newest rules; nil if the listing contains none.
	RuleChange *RuleChange `cbor:",omitempty"`
	// Machines holds at most MaxMachines servers that are new or have changed.
	Machines []mustardsaddle.Machine
	// Removed holds the names of at most MaxMachines servers that are no longer
	// listed.
	Removed []string
}

// AskListing requests a snapshot of a collection of a directory.
type AskListing struct {
	// Servers is true for the servers and false for the rules.
	Servers bool
}

// Statements announces what endpoint servers state about the requests that they take.
type Statements struct {
	// Servers holds at most MaxMarks statements.
	Servers []mustardsaddle.ServerStatement
}

// Reaches announces which services gateways cannot reach. A gateway states this about itself
// alone, and to its linked peers alone. Earlier builds passed statements on.
type Reaches struct {
	// Gateways holds at most MaxMarks statements.
	Gateways []mustardsaddle.GatewayReach
}

// Suspicions announces under which requests servers have ended.
type Suspicions struct {
	// Requests holds at most MaxSuspicions requests.
	Requests []mustardsaddle.RequestSuspicion
}

// Evacuations is the whole set of evacuated availability zones that a directory lists. It is
// no Listing, which an older build would take for one of rules.
type Evacuations struct {
	// Era and Revision are the position of the directory at which the set is complete.
	Era      int64 `cbor:",omitempty"`
	Revision int64
	// Age is the time, in milliseconds, during which the directory may have changed
	// without the sender's knowledge.
	Age int64
	// Reading identifies the call of the directory that the set stems from; the zero value if
	// it is unknown.
	Reading mustardsaddle.Reading `cbor:",omitzero"`
	// Zones holds the names of at most MaxMachines zones.
	Zones []string `cbor:",omitempty"`
}

// AskEvacuations requests the set of evacuated availability zones.
type AskEvacuations struct{}

// Unknown stands for a message of a type that this version does not know.
type Unknown struct {
	// Name is the name of the type, cut to 255 bytes.
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
	_ Message = Statements{}
	_ Message = Reaches{}
	_ Message = Suspicions{}
	_ Message = Evacuations{}
	_ Message = AskEvacuations{}
	_ Message = Unknown{}
)

// Type returns TypeHello.
func (Hello) Type() Type { return TypeHello }

// Type returns TypeHeartbeat.
func (Heartbeat) Type() Type { return TypeHeartbeat }

// Type returns TypeMarks.
func (Marks) Type() Type { return TypeMarks }

// Generations states which generation of the rules gateway VMs, the sender
// included, have in force. Each gateway forwards the entries that were new to it.
type Generations struct {
	// VMs holds at most MaxMarks entries.
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

// Type returns TypeStatements.
func (Statements) Type() Type { return TypeStatements }

// Type returns TypeReaches.
func (Reaches) Type() Type { return TypeReaches }

// Type returns TypeSuspicions.
func (Suspicions) Type() Type { return TypeSuspicions }

// Type returns TypeEvacuations.
func (Evacuations) Type() Type { return TypeEvacuations }

// Type returns TypeAskEvacuations.
func (AskEvacuations) Type() Type { return TypeAskEvacuations }

// Type returns TypeUnknown.
func (Unknown) Type() Type { return TypeUnknown }

// SplitMarks divides marks into messages of at most MaxMarks marks each.
func SplitMarks(marks []mustardsaddle.Mark) []Marks {
	var messages []Marks
	for part := range slices.Chunk(marks, MaxMarks) {
		messages = append(messages, Marks{Marks: part})
	}
	return messages
}

// SplitStatements divides statements into messages of at most MaxMarks statements each.
func SplitStatements(statements []mustardsaddle.ServerStatement) []Statements {
	var messages []Statements
	for part := range slices.Chunk(statements, MaxMarks) {
		messages = append(messages, Statements{Servers: part})
	}
	return messages
}

// SplitSuspicions divides suspicions into messages of at most MaxSuspicions each.
func SplitSuspicions(requests []mustardsaddle.RequestSuspicion) []Suspicions {
	var messages []Suspicions
	for part := range slices.Chunk(requests, MaxSuspicions) {
		messages = append(messages, Suspicions{Requests: part})
	}
	return messages
}

// SplitMachines divides a list of VMs into messages of at most MaxMachines VMs
// each.
func SplitMachines(machines []mustardsaddle.Machine) []Machines {
	var messages []Machines
	for part := range slices.Chunk(machines, MaxMachines) {
		messages = append(messages, Machines{Machines: part})
	}
	return messages
}
