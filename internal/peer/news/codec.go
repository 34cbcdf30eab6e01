package news

import (
	"strings"

	"github.com/fxamacker/cbor/v2"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/control/roster"
)

// maxNesting bounds how deep arrays and maps of a message nest.
const maxNesting = 8

// Codec encodes and decodes messages. It is safe for concurrent use.
type Codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

// envelope is what travels.
type envelope struct {
	Format int
	Type   string
	Body   cbor.RawMessage
}

// header is the part of an envelope that every format has.
type header struct {
	Format int
}

// NewCodec returns a Codec.
func NewCodec() *Codec {
	enc, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic("news: the encoding options are invalid: " + err.Error())
	}
	dec, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxNestedLevels:   maxNesting,
		MaxArrayElements:  maxLines,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
	}.DecMode()
	if err != nil {
		panic("news: the decoding options are invalid: " + err.Error())
	}
	return &Codec{enc: enc, dec: dec}
}

// Encode returns the encoded message. It refuses, with code.PeerBadMessage, what
// Decode would refuse.
func (c *Codec) Encode(msg Message) ([]byte, error) {
	if err := check(msg); err != nil {
		return nil, err
	}
	body, err := c.enc.Marshal(msg)
	if err != nil {
		return nil, code.Wrapf(code.PeerBadMessage, err, "encode message %s", name(msg.Type()))
	}
	b, err := c.enc.Marshal(envelope{Format: Format, Type: name(msg.Type()), Body: body})
	if err != nil {
		return nil, code.Wrapf(code.PeerBadMessage, err, "encode message %s", name(msg.Type()))
	}
	return b, nil
}

// Decode returns the message in b. The error has code.PeerNewerFormat for a
// message of a newer format and code.PeerBadMessage for any other that cannot
// be read or breaks a limit. A type of a later version decodes as Unknown.
func (c *Codec) Decode(b []byte) (Message, error) {
	if len(b) > MaxBytes {
		return nil, code.Errorf(code.PeerBadMessage, "decode message: got %d bytes, want at most %d", len(b), MaxBytes)
	}
	var h header
	if err := c.dec.Unmarshal(b, &h); err != nil {
		return nil, code.Wrapf(code.PeerBadMessage, err, "decode message")
	}
	if h.Format > Format {
		return nil, code.Errorf(code.PeerNewerFormat, "decode message: got format %d, want at most %d", h.Format, Format)
	}
	if h.Format < 1 {
		return nil, code.Errorf(code.PeerBadMessage, "decode message: got format %d, want at least 1", h.Format)
	}
	var e envelope
	if err := c.dec.Unmarshal(b, &e); err != nil {
		return nil, code.Wrapf(code.PeerBadMessage, err, "decode message")
	}
	return c.body(e)
}

// body decodes the message in an envelope.
func (c *Codec) body(e envelope) (Message, error) {
	switch e.Type {
	case name(TypeHello):
		return decode[Hello](c, e)
	case name(TypeHeartbeat):
		return decode[Heartbeat](c, e)
	case name(TypeMarks):
		return decode[Marks](c, e)
	case name(TypeRuleChange):
		return decode[RuleChange](c, e)
	case name(TypeGenerations):
		return decode[Generations](c, e)
	case name(TypeAskRules):
		return decode[AskRules](c, e)
	case name(TypeWholeRules):
		return decode[WholeRules](c, e)
	case name(TypeAskMachines):
		return decode[AskMachines](c, e)
	case name(TypeMachines):
		return decode[Machines](c, e)
	case name(TypeListing):
		return decode[Listing](c, e)
	case name(TypeAskListing):
		return decode[AskListing](c, e)
	case "":
		return nil, code.Errorf(code.PeerBadMessage, "decode message: got no type")
	default:
		return Unknown{Name: e.Type[:min(len(e.Type), maxNameBytes)]}, nil
	}
}

func decode[M Message](c *Codec, e envelope) (Message, error) {
	var msg M
	if err := c.dec.Unmarshal(e.Body, &msg); err != nil {
		return nil, code.Wrapf(code.PeerBadMessage, err, "decode message %s", e.Type)
	}
	if err := check(msg); err != nil {
		return nil, err
	}
	return msg, nil
}

// name returns the name of a type as it travels.
func name(t Type) string {
	return strings.TrimPrefix(t.String(), "Type")
}

// check returns an error if a message breaks a limit.
func check(msg Message) error {
	switch m := msg.(type) {
	case Hello:
		return checkHello(m)
	case Heartbeat:
		return checkSummary(m, m.Summary)
	case Marks:
		return checkMarks(m)
	case RuleChange:
		return checkRuleChange(m)
	case Generations:
		return checkGenerations(m)
	case AskRules:
		return checkNumber(m, "Have", m.Have)
	case WholeRules:
		return checkWholeRules(m)
	case AskMachines:
		return nil
	case Machines:
		return checkMachines(m, m.Machines)
	case Listing:
		return checkListing(m)
	case AskListing:
		return nil
	default:
		return code.Errorf(code.PeerBadMessage, "message %s cannot be sent", name(msg.Type()))
	}
}

func checkHello(m Hello) error {
	if m.VM.Name == "" {
		return code.Errorf(code.PeerBadMessage, "message Hello: got no name of a VM")
	}
	for _, s := range []string{m.VM.Name, m.VM.Zone, m.VM.Peer} {
		if err := checkName(m, s); err != nil {
			return err
		}
	}
	return checkSummary(m, m.Summary)
}

func checkSummary(m Message, s Summary) error {
	numbers := []struct {
		field string
		n     int64
	}{
		{"Generation", s.Generation},
		{"Rules.Revision", s.Rules.Revision}, {"Rules.Age", s.Rules.Age},
		{"Servers.Revision", s.Servers.Revision}, {"Servers.Age", s.Servers.Age},
	}
	for _, number := range numbers {
		if err := checkNumber(m, number.field, number.n); err != nil {
			return err
		}
	}
	return nil
}

func checkMarks(m Marks) error {
	if len(m.Marks) > MaxMarks {
		return code.Errorf(code.PeerBadMessage, "message Marks: got %d marks, want at most %d", len(m.Marks), MaxMarks)
	}
	for _, mark := range m.Marks {
		if err := checkMark(m, mark); err != nil {
			return err
		}
	}
	return nil
}

func checkMark(m Marks, mark mustardsaddle.Mark) error {
	if mark.Name == "" {
		return code.Errorf(code.PeerBadMessage, "message Marks: got a mark without the name of a VM")
	}
	if mark.Seq < 0 || mark.Seq > roster.FinalSeq {
		return code.Errorf(code.PeerBadMessage, "message Marks: got Seq=%d, want 0 to %d", mark.Seq, roster.FinalSeq)
	}
	return checkName(m, mark.Name)
}

func checkGenerations(m Generations) error {
	if len(m.VMs) > MaxMarks {
		return code.Errorf(code.PeerBadMessage, "message Generations: got %d VMs, want at most %d", len(m.VMs), MaxMarks)
	}
	for _, vm := range m.VMs {
		if err := checkName(m, vm.Name); err != nil {
			return err
		}
		if err := checkNumber(m, "Generation", vm.Generation); err != nil {
			return err
		}
	}
	return nil
}

func checkRuleChange(m RuleChange) error {
	if m.From < 0 || m.To <= m.From || m.Submission < 0 {
		return code.Errorf(code.PeerBadMessage, "message RuleChange: got From=%d To=%d Submission=%d, want 0 <= From < To and no negative submission",
			m.From, m.To, m.Submission)
	}
	bytes := 0
	for _, lines := range [][]RuleEdit{m.Out, m.In} {
		if len(lines) > maxLines {
			return code.Errorf(code.PeerBadMessage, "message RuleChange: got %d lines, want at most %d", len(lines), maxLines)
		}
		for _, line := range lines {
			if line.At < 0 {
				return code.Errorf(code.PeerBadMessage, "message RuleChange: got a line at %d, want at least 0", line.At)
			}
			bytes += len(line.Text)
		}
	}
	if bytes > MaxRulesBytes {
		return code.Errorf(code.PeerBadMessage, "message RuleChange: got %d bytes, want at most %d", bytes, MaxRulesBytes)
	}
	return nil
}

func checkWholeRules(m WholeRules) error {
	if len(m.Text) > MaxRulesBytes {
		return code.Errorf(code.PeerBadMessage, "message WholeRules: got %d bytes, want at most %d", len(m.Text), MaxRulesBytes)
	}
	return checkNumber(m, "Generation", m.Generation)
}

func checkMachines(m Message, machines []mustardsaddle.Machine) error {
	if len(machines) > MaxMachines {
		return code.Errorf(code.PeerBadMessage, "message %s: got %d VMs, want at most %d", name(m.Type()), len(machines), MaxMachines)
	}
	for _, machine := range machines {
		if machine.Name == "" {
			return code.Errorf(code.PeerBadMessage, "message %s: got a VM without a name", name(m.Type()))
		}
		for _, s := range []string{machine.Name, machine.Zone, machine.Service, machine.Address} {
			if err := checkName(m, s); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkListing(m Listing) error {
	if m.After < 0 || m.Revision <= 0 || m.Generation < 0 {
		return code.Errorf(code.PeerBadMessage, "message Listing: got After=%d Revision=%d Generation=%d, want a revision above 0 and no negative number",
			m.After, m.Revision, m.Generation)
	}
	if len(m.Rules) > MaxRulesBytes {
		return code.Errorf(code.PeerBadMessage, "message Listing: got rules of %d bytes, want at most %d", len(m.Rules), MaxRulesBytes)
	}
	if len(m.Removed) > MaxMachines {
		return code.Errorf(code.PeerBadMessage, "message Listing: got %d names, want at most %d", len(m.Removed), MaxMachines)
	}
	for _, removed := range m.Removed {
		if err := checkName(m, removed); err != nil {
			return err
		}
	}
	return checkMachines(m, m.Machines)
}

func checkName(m Message, s string) error {
	if len(s) > maxNameBytes {
		return code.Errorf(code.PeerBadMessage, "message %s: got a name of %d bytes, want at most %d", name(m.Type()), len(s), maxNameBytes)
	}
	return nil
}

func checkNumber(m Message, field string, n int64) error {
	if n < 0 {
		return code.Errorf(code.PeerBadMessage, "message %s: got %s=%d, want at least 0", name(m.Type()), field, n)
	}
	return nil
}
