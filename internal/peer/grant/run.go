package grant

import (
	"context"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
)

// Run keeps the connections until the context ends, then closes them and waits for their
// goroutines. It closes done when it returns, and must be called only once.
func (q *Quotas) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	var reportAt time.Time
	for {
		select {
		case <-ctx.Done():
			q.close()
			return
		case c := <-q.ends:
			q.handleEnd(time.Now(), c)
			continue
		case <-q.wake:
		case <-timer.C:
		}
		now := time.Now()
		if q.tick(ctx, now) {
			timer.Reset(tickInterval)
		}
		if !now.Before(reportAt) {
			reportAt = now.Add(reportInterval)
			q.report(now)
		}
	}
}

// close ends all connections and waits for their goroutines, after the context has ended.
func (q *Quotas) close() {
	q.mu.Lock()
	q.closed = true
	n := len(q.conns)
	q.mu.Unlock()
	q.stop()
	for ; n > 0; n-- {
		q.handleEnd(time.Now(), <-q.ends)
	}
	q.inboundEnds.Wait()
}

// tick opens and closes connections. It returns false if no tick is needed until the next
// wake.
func (q *Quotas) tick(ctx context.Context, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.cfg.Listed == nil || q.cfg.Listed() {
		q.desk.SetListed(now)
	}
	wanted, overdue := q.desk.Tick(now)
	for _, name := range overdue {
		if c := q.conns[name]; c != nil {
			c.cancel()
		}
	}
	needed := make(map[string]bool, len(wanted))
	for _, vm := range wanted {
		needed[vm.Name] = true
		if c := q.conns[vm.Name]; c != nil {
			c.nudge()
			continue
		}
		q.open(ctx, vm)
	}
	for name, c := range q.conns {
		if !needed[name] {
			c.unwanted = true
			c.cancel()
		}
	}
	return q.desk.Active(now)
}

// open starts a connection. The caller holds mu.
func (q *Quotas) open(ctx context.Context, vm mustardsaddle.VM) {
	ctx, cancel := context.WithCancel(ctx)
	c := &conn{owner: q, vm: vm, cancel: cancel, due: make(chan struct{}, 1)}
	q.conns[vm.Name] = c
	go func() {
		defer cancel()
		_ = c.run(ctx) // the desk is told, whatever the reason
		q.ends <- c
	}()
}

// handleEnd removes a connection that has ended.
func (q *Quotas) handleEnd(now time.Time, c *conn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	name := c.vm.Name
	delete(q.conns, name)
	if c.unwanted {
		q.release(q.desk.Drop(name))
		return
	}
	q.release(q.desk.SetFailed(now, name, c.unsupported))
}

// report logs the customers that have begun or ceased to be limited, and updates the
// metrics.
func (q *Quotas) report(now time.Time) {
	q.mu.Lock()
	changes, counts, conns := q.desk.Changes(now), q.desk.Counts(), len(q.conns)
	q.mu.Unlock()
	q.metrics.update(counts, conns)
	for _, use := range changes[:min(maxReports, len(changes))] {
		e := event.CustomerUnlimited
		if use.Limited {
			e = event.CustomerLimited
		}
		event.Info(q.cfg.Logger, e).Str("Customer", use.Customer).Float64("Rate", use.Rate).Float64("Burst", use.Burst).
			Float64("Usage", use.Usage).Int64("Granted", use.Granted).Int64("Refused", use.Refused).Send()
	}
}
