// Package buffer bounds the memory of a process for parts of messages that it has to keep before
// it can pass them on: headers of responses, responses that are sent with a length that is not
// known before their end, and requests that may be sent again.
//
// The bounds hold for all calls together, so that servers and callers that send without end
// cannot use up the memory of a gateway. What is small needs no budget: every call may keep some
// kilobytes of each kind.
//
// # Usage
//
//	budget := buffer.New(32 << 20)
//	if budget.Requests.TryTake(n) {
//		defer budget.Requests.Return(n)
//		...
//	}
//	if err := budget.Responses.Take(ctx, n); err == nil {
//		defer budget.Responses.Return(n)
//		...
//	}
package buffer

import (
	"context"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

// Budget is the memory for parts of messages, by kind, so that one kind cannot take that of
// another. The zero value has no bounds.
type Budget struct {
	// Heads is for the headers of responses, Responses for responses that are kept as a whole,
	// and Requests for the bodies of requests that may be sent again.
	Heads, Responses, Requests *Pool
}

// New returns a Budget of the given number of bytes.
func New(bytes int64) Budget {
	const half, quarter = 2, 4
	return Budget{Heads: NewPool(bytes / half), Responses: NewPool(bytes / quarter), Requests: NewPool(bytes / quarter)}
}

// Stats are the bytes in use, and the number of times that there were not enough.
type Stats struct {
	Used, Refused int64
}

// Stats returns the sums over all kinds.
func (b Budget) Stats() Stats {
	var sum Stats
	for _, p := range []*Pool{b.Heads, b.Responses, b.Requests} {
		if p != nil {
			sum.Used += p.used.Load()
			sum.Refused += p.refused.Load()
		}
	}
	return sum
}

// Pool is a number of bytes that may be in use at the same time. A nil Pool has no bound. It is
// safe for concurrent use.
type Pool struct {
	limit         int64
	free          *semaphore.Weighted
	used, refused atomic.Int64
}

// NewPool returns a Pool of the given number of bytes.
func NewPool(bytes int64) *Pool {
	return &Pool{limit: bytes, free: semaphore.NewWeighted(bytes)}
}

// TryTake takes n bytes if they are free at once.
func (p *Pool) TryTake(n int64) bool {
	if p == nil {
		return true
	}
	if n > p.limit || !p.free.TryAcquire(n) {
		p.refused.Add(1)
		return false
	}
	p.used.Add(n)
	return true
}

// Take waits until n bytes are free and takes them. It returns the error of the context if that
// ends first, and waits in vain for more than the pool has.
func (p *Pool) Take(ctx context.Context, n int64) error {
	if p == nil {
		return nil
	}
	if err := p.free.Acquire(ctx, n); err != nil {
		p.refused.Add(1)
		return err
	}
	p.used.Add(n)
	return nil
}

// Return returns n bytes that were taken.
func (p *Pool) Return(n int64) {
	if p == nil || n == 0 {
		return
	}
	p.used.Add(-n)
	p.free.Release(n)
}
