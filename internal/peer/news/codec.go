package news

import (
	"strings"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// maxNestedLevels bounds the nesting depth of arrays and maps in a message.
const maxNestedLevels = 8

// Codec encodes and decodes messages. It is safe for concurrent use.
type Codec struct {
	encMode cbor.EncMode
	decMode cbor.DecMode
	// decoders holds the decoder of each known type by the name of the type.
	decoders map[string]decoder
	bodies   bodyCache
	// compressed and decompressed count bodies.
	compressed, decompressed atomic.Int64
}

// CodecStats holds counters since a Codec was made.
type CodecStats struct {
	// Compressed and Decompressed count the bodies that were compressed and decompressed.
	Compressed, Decompressed int64
}

// decoder decodes the body of a message of one type.
type decoder func(c *Codec, typ string, body []byte) (Message, error)

// envelope is the outer map of an encoded message.
type envelope struct {
	Format int
	Type   string
	Body   cbor.RawMessage `cbor:",omitempty"`
	// Head is the encoded message without its content, beside Compressed. Earlier builds
	// skip it.
	Head cbor.RawMessage `cbor:",omitempty"`
	// Compressed is the compressed body of a message of FormatCompressed.
	Compressed []byte `cbor:",omitempty"`
}

// header is the part of an envelope that is the same in every format version. It
// is decoded first, since the other fields may have another shape in a newer format.
type header struct {
	Format int
}

// NewCodec returns a Codec.
func NewCodec() *Codec {
	encMode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic("news: the encoding options are invalid: " + err.Error())
	}
	decMode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxNestedLevels:   maxNestedLevels,
		MaxArrayElements:  maxRuleLines,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
	}.DecMode()
	if err != nil {
		panic("news: the decoding options are invalid: " + err.Error())
	}
	return &Codec{encMode: encMode, decMode: decMode, decoders: newDecoders()}
}

// Stats returns the counters.
func (c *Codec) Stats() CodecStats {
	return CodecStats{Compressed: c.compressed.Load(), Decompressed: c.decompressed.Load()}
}

// Encode returns the encoded message. It validates the fields as Decode does, with
// code.PeerBadMessage for one that is missing or out of range, but does not compare
// the encoded size with MaxBytes.
func (c *Codec) Encode(msg Message) ([]byte, error) {
	if err := check(msg); err != nil {
		return nil, err
	}
	e := envelope{Format: Format, Type: typeName(msg.Type())}
	key, err := c.bodyKey(msg)
	if err != nil {
		return nil, code.Wrapf(code.PeerBadMessage, err, "encode the head of message %s", e.Type)
	}
	if e.Compressed = c.bodies.get(key); e.Compressed == nil {
		if e.Body, err = c.encMode.Marshal(msg); err != nil {
			return nil, code.Wrapf(code.PeerBadMessage, err, "encode message %s", e.Type)
		}
	}
	if len(e.Body) >= minCompressedBytes {
		e.Compressed = compress(e.Body)
		c.compressed.Add(1)
		c.bodies.put(key, e.Compressed)
	}
	if e.Compressed != nil {
		e.Format, e.Body = FormatCompressed, nil
		if e.Head, err = c.encodeHead(msg); err != nil {
			return nil, code.Wrapf(code.PeerBadMessage, err, "encode the head of message %s", e.Type)
		}
	}
	b, err := c.encMode.Marshal(e)
	if err != nil {
		return nil, code.Wrapf(code.PeerBadMessage, err, "encode message %s", e.Type)
	}
	return b, nil
}

// encodeHead returns the encoded head of a message; nil if it has none.
func (c *Codec) encodeHead(msg Message) ([]byte, error) {
	head := headOf(msg)
	if head == nil {
		return nil, nil
	}
	return c.encMode.Marshal(head)
}

// bodyKey returns the key of the body of a message; the zero value if the head does not determine
// the body.
func (c *Codec) bodyKey(msg Message) (bodyKey, error) {
	change := ruleChangeOf(msg)
	if change == nil {
		return bodyKey{}, nil
	}
	head, err := c.encodeHead(msg)
	return bodyKey{typ: msg.Type(), head: string(head), out: len(change.Out), in: len(change.In)}, err
}

// newDecoders returns the decoders of all types.
func newDecoders() map[string]decoder {
	decoders := make(map[string]decoder)
	decoders[typeName(TypeHello)] = decode[Hello]
	decoders[typeName(TypeHeartbeat)] = decode[Heartbeat]
	decoders[typeName(TypeMarks)] = decode[Marks]
	decoders[typeName(TypeRuleChange)] = decode[RuleChange]
	decoders[typeName(TypeGenerations)] = decode[Generations]
	decoders[typeName(TypeAskRules)] = decode[AskRules]
	decoders[typeName(TypeWholeRules)] = decode[WholeRules]
	decoders[typeName(TypeAskMachines)] = decode[AskMachines]
	decoders[typeName(TypeMachines)] = decode[Machines]
	decoders[typeName(TypeListing)] = decode[Listing]
	decoders[typeName(TypeAskListing)] = decode[AskListing]
	decoders[typeName(TypeStatements)] = decode[Statements]
	decoders[typeName(TypeReaches)] = decode[Reaches]
	decoders[typeName(TypeSuspicions)] = decode[Suspicions]
	decoders[typeName(TypeEvacuations)] = decode[Evacuations]
	decoders[typeName(TypeAskEvacuations)] = decode[AskEvacuations]
	return decoders
}

func decode[M Message](c *Codec, typ string, body []byte) (Message, error) {
	var msg M
	if err := c.decMode.Unmarshal(body, &msg); err != nil {
		return nil, code.Wrapf(code.PeerBadMessage, err, "decode message %s", typ)
	}
	if err := check(msg); err != nil {
		return nil, err
	}
	return msg, nil
}

// typeName returns the name of a type in the encoded envelope.
func typeName(t Type) string {
	return strings.TrimPrefix(t.String(), "Type")
}
