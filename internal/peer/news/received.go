package news

import (
	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// Received is a message whose body may not have been decoded yet. The zero value is not valid.
type Received struct {
	codec    *Codec
	envelope envelope
	head     Message
}

// Open reads the envelope of the message in b, and its head if it has one. The error has
// code.PeerNewerFormat for a message of a newer format, and code.PeerBadMessage for any other
// whose envelope is malformed or exceeds a limit.
func (c *Codec) Open(b []byte) (Received, error) {
	if len(b) > MaxBytes {
		return Received{}, code.Errorf(code.PeerBadMessage, "decode message: got %d bytes, want at most %d", len(b), MaxBytes)
	}
	var h header
	if err := c.decMode.Unmarshal(b, &h); err != nil {
		return Received{}, code.Wrapf(code.PeerBadMessage, err, "decode message")
	}
	if h.Format > FormatCompressed {
		return Received{}, code.Errorf(code.PeerNewerFormat, "decode message: got format %d, want at most %d", h.Format, FormatCompressed)
	}
	if h.Format < 1 {
		return Received{}, code.Errorf(code.PeerBadMessage, "decode message: got format %d, want at least 1", h.Format)
	}
	var e envelope
	if err := c.decMode.Unmarshal(b, &e); err != nil {
		return Received{}, code.Wrapf(code.PeerBadMessage, err, "decode message")
	}
	if e.Type == "" {
		return Received{}, code.Errorf(code.PeerBadMessage, "decode message: the type is missing")
	}
	return c.openHead(e)
}

// openHead decodes the head in an envelope.
func (c *Codec) openHead(e envelope) (Received, error) {
	decode := c.decoders[e.Type]
	if e.Format != FormatCompressed || len(e.Head) == 0 || decode == nil {
		return Received{codec: c, envelope: e}, nil
	}
	head, err := decode(c, e.Type, e.Head)
	return Received{codec: c, envelope: e, head: head}, err
}

// Large reports whether the body is compressed.
func (r Received) Large() bool {
	return r.envelope.Format == FormatCompressed
}

// Head returns the message without its content, such as the lines of a change of the rules; nil
// if the message states no head, as small ones and those of earlier builds.
func (r Received) Head() Message {
	return r.head
}

// Message decodes the body. The error has code.PeerBadMessage. A message type that this version
// does not know decodes as Unknown.
func (r Received) Message() (Message, error) {
	if !r.Large() {
		return r.codec.decodeBody(r.envelope.Type, r.envelope.Body)
	}
	body, err := decompress(r.envelope.Compressed, MaxBytes)
	if err != nil {
		return nil, code.Wrapf(code.PeerBadMessage, err, "decompress message %s", r.envelope.Type)
	}
	r.codec.decompressed.Add(1)
	msg, err := r.codec.decodeBody(r.envelope.Type, body)
	if err != nil {
		return nil, err
	}
	key, err := r.codec.bodyKey(msg)
	if err != nil {
		return nil, code.Wrapf(code.PeerBadMessage, err, "encode the head of message %s", r.envelope.Type)
	}
	r.codec.bodies.put(key, r.envelope.Compressed)
	return msg, nil
}

// decodeBody decodes the body of a message of the given type.
func (c *Codec) decodeBody(typ string, body []byte) (Message, error) {
	if decode := c.decoders[typ]; decode != nil {
		return decode(c, typ, body)
	}
	return Unknown{Name: typ[:min(len(typ), mustardsaddle.MaxNameBytes)]}, nil
}

// Decode returns the message in b. The errors are those of Open and Received.Message.
func (c *Codec) Decode(b []byte) (Message, error) {
	r, err := c.Open(b)
	if err != nil {
		return nil, err
	}
	return r.Message()
}

// headOf returns a message without its content, from which a receiver can tell whether it has the
// content already; nil for types that are never large or whose receivers need their content.
func headOf(msg Message) Message {
	switch m := msg.(type) {
	case RuleChange:
		m.Out, m.In = nil, nil
		return m
	case Listing:
		m.Rules, m.Machines, m.Removed = "", nil, nil
		if m.RuleChange != nil {
			change := *m.RuleChange
			change.Out, change.In = nil, nil
			m.RuleChange = &change
		}
		return m
	default:
		return nil
	}
}
