package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/request/refusal"
)

// maxWholeBytes bounds the size of a response of unknown length to a caller on HTTP/1.0.
const maxWholeBytes = 1 << 20

// errWholeTooLarge is the error of a response that is larger than maxWholeBytes.
var errWholeTooLarge = errors.New("read response of unknown length: it is too large to be kept")

// relayWhole reads a response of unknown length completely before it is sent, with its length.
// To a caller on HTTP/1.0 only the close of the connection could mark the end of a body
// without one, and a body that is cut would look complete. What does not fit into the buffer first
// waits until there is memory for a response of the largest size. Since the caller has received
// nothing, all of it has to arrive by the deadline.
func (c *call) relayWhole(h http.Header, a *attempt, src *bodySource, first *block) {
	ctx, cancel := context.WithTimeout(c.r.Context(), c.bufferedLimit(time.Now()))
	defer cancel()
	stop := context.AfterFunc(ctx, src.expire)
	defer stop()
	body := wholeBody{c: c, blocks: []*block{first}}
	defer body.release()
	if err := body.read(ctx, src); err != nil {
		c.refuse(c.brokenRefusal(src.attempt))
		return
	}
	c.relayHeader(h, a)
	delete(h, "Trailer")
	h["Content-Length"] = []string{strconv.FormatInt(body.size, 10)}
	c.g.extendWriteDeadline(c.w)
	c.w.WriteHeader(a.resp.StatusCode)
	body.write(c.w)
	c.logResult(src.attempt, body.size)
}

// brokenRefusal returns the refusal of a call whose response was not received completely.
func (c *call) brokenRefusal(a *attempt) *refusal.Refusal {
	refused := &refusal.Refusal{Code: code.CallBroken, Outcome: mustardsaddle.Unknown, RetryAfter: c.match.controller.RetryAfter(time.Now())}
	if errors.Is(context.Cause(a.ctx), errDeadline) {
		refused.Code = code.CallDeadline
	}
	return refused
}

// wholeBody is a body that is kept in blocks.
type wholeBody struct {
	c      *call
	blocks []*block
	// last is the number of bytes in the last block, and size that in all of them.
	last int
	size int64
	// taken is the memory that was taken from the budget.
	taken int64
}

// block is a buffer of the pool of a gateway.
type block = [copyBufferBytes]byte

// read reads a body to its end.
func (b *wholeBody) read(ctx context.Context, src io.Reader) error {
	for {
		n, err := src.Read(b.blocks[len(b.blocks)-1][b.last:])
		b.last += n
		b.size += int64(n)
		switch {
		case b.size > maxWholeBytes:
			return errWholeTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case b.last < copyBufferBytes:
			continue
		}
		if err := b.grow(ctx); err != nil {
			return err
		}
	}
}

// grow adds a block. The first one that is added waits for the memory of all.
func (b *wholeBody) grow(ctx context.Context) error {
	if b.taken == 0 {
		if err := b.c.g.cfg.Buffers.Responses.Take(ctx, maxWholeBytes); err != nil {
			return err
		}
		b.taken = maxWholeBytes
	}
	next, _ := b.c.g.buffers.Get().(*block)
	b.blocks, b.last = append(b.blocks, next), 0
	return nil
}

// write writes the body.
func (b *wholeBody) write(w io.Writer) {
	for i, p := range b.blocks {
		n := copyBufferBytes
		if i == len(b.blocks)-1 {
			n = b.last
		}
		if _, err := w.Write(p[:n]); err != nil {
			return
		}
	}
}

// release returns the memory, except the first block, which belongs to the caller.
func (b *wholeBody) release() {
	for _, p := range b.blocks[1:] {
		b.c.g.buffers.Put(p)
	}
	b.c.g.cfg.Buffers.Responses.Return(b.taken)
}
