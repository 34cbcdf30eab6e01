package admission

import (
	"context"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/request/booking"
	"mustardsaddle.example/mustardsaddle/internal/request/refusal"
	"mustardsaddle.example/mustardsaddle/internal/request/slot"
)

// queuedCall is a call that waits in the queue.
type queuedCall struct {
	// tried lists the servers that the call has already tried.
	tried []string
	// assigned receives the assigned server; it is closed if the call's wait expires.
	assigned chan mustardsaddle.Choice
}

// Request describes a call that asks for admission.
type Request struct {
	// Begin starts another attempt if the call and the budgets allow one. It returns
	// the kind of the attempt and the servers that the call has already tried. The
	// Controller calls it with its mutex held.
	Begin func(now time.Time, b *booking.Budgets) (kind booking.Kind, tried []string, ok bool)
	// Entry returns the call's queue entry under the given ID.
	Entry func(id uint64) slot.Entry
	// NoTokenWait is true if the call is not to wait for long until a server's limit permits
	// it, since another gateway may be permitted to send it now.
	NoTokenWait bool
}

// maxTokenWait is the longest wait for a server's limit of a call with NoTokenWait.
const maxTokenWait = 50 * time.Millisecond

// Assignment is the server assigned to an attempt. The attempt counts as in flight
// until Finish.
type Assignment struct {
	// Kind says whether the attempt is a first attempt, a retry or a hedge.
	Kind   booking.Kind
	Choice mustardsaddle.Choice
	// Queued is the time that the call spent in the queue.
	Queued time.Duration
	// Budget is the state of the retry budget after a retry or hedge was taken from it.
	Budget Spending
}

// Admit starts an attempt of the call and chooses its server. A first attempt is queued
// if other calls are queued or no server has capacity. A retry is queued only if no
// server has capacity, and a hedge is refused then. A call that has tried every usable
// server is refused instead of queued, and so is a call if no server
// may get a request in time by their own statements. If Begin permits no attempt, the refusal has
// code.OK. Unqueried is true if the budgets allowed no load query before this attempt.
func (c *Controller) Admit(ctx context.Context, now time.Time, r Request, unqueried bool) (Assignment, *refusal.Refusal) {
	c.mu.Lock()
	kind, tried, spent, ok := c.begin(now, r)
	if !ok {
		c.mu.Unlock()
		return Assignment{}, &refusal.Refusal{Code: code.OK}
	}
	c.lastID++
	entry := r.Entry(c.lastID)
	if refused := c.refuseLate(now, kind, entry); refused != nil {
		c.mu.Unlock()
		return Assignment{}, refused
	}
	if kind != booking.First || c.queue.Len() == 0 {
		choice, ok := c.choose(now, c.requirements(now, tried).WithUnqueried(unqueried))
		if ok {
			c.mu.Unlock()
			return Assignment{Kind: kind, Choice: choice, Budget: spent}, nil
		}
	}
	if c.evacuated() {
		defer c.mu.Unlock()
		return Assignment{}, c.refuseEvacuated()
	}
	if kind == booking.Hedge || c.usable <= len(tried) {
		defer c.mu.Unlock()
		return Assignment{}, &refusal.Refusal{Code: code.CallNoServer, Outcome: mustardsaddle.NotRun, RetryAfter: c.retryAfter(now)}
	}
	if refused := c.refuseRestricted(now, tried, entry, r.NoTokenWait); refused != nil {
		c.mu.Unlock()
		return Assignment{}, refused
	}
	if kind == booking.First {
		c.queue.RecordShortage(now, entry)
	}
	joined := c.queue.Join(now, entry)
	if joined.Displaced {
		c.endWait(joined.DisplacedID)
	}
	if !joined.Queued {
		c.mu.Unlock()
		return Assignment{}, &refusal.Refusal{Code: code.CallOverloaded, Outcome: mustardsaddle.NotRun, RetryAfter: joined.RetryAfter}
	}
	assigned := make(chan mustardsaddle.Choice, 1)
	c.waiting[entry.ID] = queuedCall{tried: tried, assigned: assigned}
	c.mu.Unlock()
	assignment, refused := c.wait(ctx, now, entry, joined.ExpiresAt, assigned)
	assignment.Kind, assignment.Budget = kind, spent
	return assignment, refused
}

// refuseLate refuses a first attempt that can no longer meet its target while others that
// still can find no server. The caller holds mu.
func (c *Controller) refuseLate(now time.Time, kind booking.Kind, e slot.Entry) *refusal.Refusal {
	if !c.controllers.cfg.LateLast || kind != booking.First {
		return nil
	}
	delay, late := c.queue.RefuseLate(now, e, c.rng.Float64())
	if !late {
		return nil
	}
	c.Metrics.Deferred.Inc(1)
	return &refusal.Refusal{Code: code.CallOverloaded, Outcome: mustardsaddle.NotRun, RetryAfter: delay}
}

// refuseRestricted refuses a call if no server that it has not tried may get a request, by
// their own statements, before the call's wait in the queue would expire. The caller holds
// mu.
func (c *Controller) refuseRestricted(now time.Time, tried []string, e slot.Entry, noTokenWait bool) *refusal.Refusal {
	wait, restricted := c.restrictedWait(now, tried)
	if !restricted {
		return nil
	}
	maxWait := e.Deadline.Sub(now)
	if e.MaxWait > 0 {
		maxWait = min(maxWait, e.MaxWait)
	}
	if noTokenWait {
		maxWait = min(maxWait, maxTokenWait)
	}
	if wait <= maxWait {
		return nil
	}
	return &refusal.Refusal{Code: code.CallLimited, Outcome: mustardsaddle.NotRun, RetryAfter: c.retryAfter(now)}
}

// wait blocks until a server is assigned to the queued call, its wait expires or its
// context is done.
func (c *Controller) wait(ctx context.Context, since time.Time, e slot.Entry, expiresAt time.Time, assigned chan mustardsaddle.Choice) (Assignment, *refusal.Refusal) {
	poll := time.NewTicker(slot.PollInterval)
	defer poll.Stop()
	expiry := time.NewTimer(time.Until(expiresAt))
	defer expiry.Stop()
	for {
		expired := false
		select {
		case choice, ok := <-assigned:
			if !ok {
				return Assignment{}, c.overloaded(since, e)
			}
			return Assignment{Choice: choice, Queued: time.Since(since)}, nil
		case <-poll.C:
			c.poll(ctx, e.ID)
			continue
		case <-expiry.C:
			expired = true
		case <-ctx.Done():
		}
		if c.removeQueued(e.ID, expired) {
			return Assignment{}, c.overloaded(since, e)
		}
		// The call was removed from the queue concurrently, so the channel holds a
		// server or is closed.
		choice, ok := <-assigned
		if !ok {
			return Assignment{}, c.overloaded(since, e)
		}
		return Assignment{Choice: choice, Queued: time.Since(since)}, nil
	}
}

// poll queries server load and retries the queue if the call is at its head.
func (c *Controller) poll(ctx context.Context, id uint64) {
	c.mu.Lock()
	next, ok := c.queue.Next(time.Now())
	tried := c.waiting[id].tried
	c.mu.Unlock()
	if !ok || next != id {
		return
	}
	c.QueryLoad(ctx, tried)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dispatchQueued(time.Now())
}

// removeQueued removes the call from the queue, because its wait has expired or because its
// caller has left. It returns false if the call has already been removed.
func (c *Controller) removeQueued(id uint64, expired bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	remove := c.queue.Remove
	if expired {
		remove = c.queue.Refuse
	}
	if !remove(id) {
		return false
	}
	delete(c.waiting, id)
	return true
}

// Withdraw calls withdraw with the budgets, which takes back an attempt that Begin has
// started and that was not sent.
func (c *Controller) Withdraw(withdraw func(b *booking.Budgets)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	withdraw(&c.budgets)
}

// endWait ends the wait of a call that was removed from the queue. The caller holds mu.
func (c *Controller) endWait(id uint64) {
	close(c.waiting[id].assigned)
	delete(c.waiting, id)
}

// overloaded returns the refusal of a call whose wait since the given time expired. Its
// code is code.CallUnreachable if no server has replied meanwhile.
func (c *Controller) overloaded(since time.Time, e slot.Entry) *refusal.Refusal {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evacuated() {
		return c.refuseEvacuated()
	}
	refused := &refusal.Refusal{Code: code.CallOverloaded, Outcome: mustardsaddle.NotRun, RetryAfter: c.retryAfter(now)}
	if e.Share != nil {
		refused.RetryAfter = max(refused.RetryAfter, c.queue.ReturnAfter(now, e.Deadline))
	}
	if c.suspect(since) {
		refused.Code = code.CallUnreachable
	}
	return refused
}

// dispatchQueued expires queued calls whose wait is over, then assigns servers to the
// remaining ones in order while servers have capacity. The caller holds mu.
func (c *Controller) dispatchQueued(now time.Time) {
	for _, id := range c.queue.RemoveExpired(now) {
		c.endWait(id)
	}
	for {
		id, ok := c.queue.Next(now)
		if !ok {
			return
		}
		queued := c.waiting[id]
		choice, ok := c.choose(now, c.requirements(now, queued.tried))
		if !ok {
			return
		}
		c.queue.Serve(now, id)
		queued.assigned <- choice
		delete(c.waiting, id)
	}
}
