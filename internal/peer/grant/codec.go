package grant

import (
	"context"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

const (
	// maxMessageBytes bounds the size of a message.
	maxMessageBytes = 96 << 10
	// freeMessageBytes is the size up to which any number of messages may be read at once, and
	// largeMessageBytes the memory for larger ones.
	freeMessageBytes  = 4 << 10
	largeMessageBytes = 4 << 20
	// maxNestedLevels bounds the nesting of a message, and maxElements its arrays.
	maxNestedLevels = 4
	maxElements     = 64
)

// codec encodes and decodes messages. Fields that this build does not know are ignored.
type codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

func newCodec() codec {
	enc, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic("grant: the encoding options are invalid: " + err.Error())
	}
	dec, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxElements,
	}.DecMode()
	if err != nil {
		panic("grant: the decoding options are invalid: " + err.Error())
	}
	return codec{enc: enc, dec: dec}
}

// decode decodes a message into v. The error has code.PeerBadMessage.
func (c codec) decode(b []byte, v any) error {
	if err := c.dec.Unmarshal(b, v); err != nil {
		return code.Wrapf(code.PeerBadMessage, err, "decode message about quotas of %d bytes", len(b))
	}
	return nil
}

// read reads a message.
func (q *Quotas) read(ctx context.Context, ws *websocket.Conn) ([]byte, error) {
	_, r, err := ws.Reader(ctx)
	if err != nil {
		return nil, err
	}
	return q.reads.Read(ctx, r)
}
