package registry

import (
	"context"
	"math/rand/v2"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/control/store"
)

// watch holds a watch on Rules/Submitted while this gateway is one of the watchers,
// and passes each new version to follow.
func (g *Registry) watch(ctx context.Context) {
	version := int64(0)
	failures := 0
	for ctx.Err() == nil {
		if !g.cfg.Watch() || g.tooLargeToWatch() {
			if !store.Sleep(ctx, g.withRNG(g.pollDelay)) {
				return
			}
			continue
		}
		o, err := g.cfg.Store.Watch(ctx, SubmittedKey, version)
		if err != nil || o.Version == 0 {
			failures++
			if !store.Sleep(ctx, g.retryDelay(failures)) {
				return
			}
			continue
		}
		failures = 0
		if o.Version <= version || o.Value == nil {
			continue
		}
		version = o.Version
		select {
		case g.submissions <- o:
		case <-ctx.Done():
			return
		}
	}
}

// tooLargeToWatch reports whether the rules exceed the size up to which watches are
// held.
func (g *Registry) tooLargeToWatch() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fileSize > maxWatchedBytes
}

// syncedVersion returns the highest version of Rules/Accepted that is known to contain
// nothing newer than the rules in force.
func (g *Registry) syncedVersion() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.SyncedVersion()
}

// pollDelay returns the time to the next poll. The caller holds mu.
func (g *Registry) pollDelay(rng *rand.Rand) time.Duration {
	if g.fileSize > maxWatchedBytes && g.cfg.Watch() {
		return jittered(rng, min(listInterval, g.cfg.Poll))
	}
	return PollDelay(rng, g.cfg.Poll, g.cfg.Fleet())
}

func (g *Registry) retryDelay(failures int) time.Duration {
	return g.withRNG(func(rng *rand.Rand) time.Duration { return g.retryBackoff.Delay(rng, failures) })
}

// follower is the state of the loop that processes watch responses and polls of the
// store.
type follower struct {
	*Registry
	// watchedSubmission is the last submission received by the watch.
	watchedSubmission mustardsaddle.Object
	// unusableVersion is the last version of Rules/Accepted that was unusable.
	unusableVersion int64
	// pollFailures and acceptFailures count consecutive failures.
	pollFailures, acceptFailures int
	pollTimer, acceptTimer       *time.Timer
	// acceptScheduled is true while acceptTimer runs.
	acceptScheduled bool
}

// follow processes watch responses and polls until the context ends.
func (g *Registry) follow(ctx context.Context) {
	f := &follower{Registry: g, pollTimer: time.NewTimer(g.withRNG(func(rng *rand.Rand) time.Duration {
		return StartDelay(rng, g.cfg.Fleet())
	})), acceptTimer: time.NewTimer(time.Hour)}
	f.acceptTimer.Stop()
	defer f.pollTimer.Stop()
	defer f.acceptTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f.watchedSubmission = <-g.submissions:
			f.observeSubmitted(f.watchedSubmission.Version)
		case <-f.pollTimer.C:
			f.pollStore(ctx)
		case <-f.acceptTimer.C:
			f.acceptScheduled = false
			f.processSubmissions(ctx)
		}
	}
}

// observeSubmitted records a version of Rules/Submitted, and schedules its handling
// after a delay that lets the gateways earlier in the order handle it first.
func (f *follower) observeSubmitted(version int64) {
	fleet := f.cfg.Fleet()
	position := AcceptPosition(f.cfg.Rank(), fleet, version)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.core.ObserveSubmitted(version) && !f.core.NeedsRepair() || f.acceptScheduled {
		return
	}
	if position > 0 {
		// Another gateway has probably written it already: a read costs less than a
		// conflict.
		f.core.Invalidate()
	}
	f.schedule(AcceptDelay(f.rng, position, fleet))
}

func (f *follower) schedule(d time.Duration) {
	f.acceptScheduled = true
	f.acceptTimer.Reset(d)
}

// pollStore performs one slow poll: it lists the versions of the rules objects, and
// reads Rules/Accepted if its version is new.
func (f *follower) pollStore(ctx context.Context) {
	err := f.refresh(ctx)
	if err == nil {
		f.pollFailures = 0
		f.pollTimer.Reset(f.withRNG(f.pollDelay))
		return
	}
	f.pollFailures++
	f.logFailure(ctx, err, f.pollFailures)
	f.pollTimer.Reset(f.retryDelay(f.pollFailures))
}

// logFailure logs the first of several consecutive failures.
func (f *follower) logFailure(ctx context.Context, err error, failures int) {
	if failures == 1 && ctx.Err() == nil {
		event.Warn(f.cfg.Logger, event.StoreFailed).Err(err).Int("Code", int(code.Of(err))).Send()
	}
}

func (f *follower) refresh(ctx context.Context) error {
	objects, err := f.cfg.Store.List(ctx, keyPrefix)
	if err != nil {
		return err
	}
	for _, o := range objects {
		switch {
		case o.Key == SubmittedKey:
			f.observeSubmitted(o.Version)
		case o.Key == AcceptedKey && o.Version > f.syncedVersion() && o.Version != f.unusableVersion:
			if err := f.readNewAccepted(ctx); err != nil {
				return err
			}
		}
	}
	return nil
}

// readNewAccepted reads a new version of Rules/Accepted. An unusable version is read
// only once, and repaired by the gateway whose acceptance delay ends first.
func (f *follower) readNewAccepted(ctx context.Context) error {
	o, err := f.cfg.Store.Get(ctx, AcceptedKey)
	if err != nil {
		return err
	}
	if err := f.takeAccepted(o); err != nil {
		f.unusableVersion = o.Version
		event.Warn(f.cfg.Logger, event.RulesIgnored).Err(err).Int("Code", int(code.Of(err))).Send()
	}
	f.observeSubmitted(0)
	return nil
}

// processSubmissions handles the known submissions one after another.
func (f *follower) processSubmissions(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		step := f.core.Next(time.Now())
		f.mu.Unlock()
		if step.Action == Idle {
			f.acceptFailures = 0
			return
		}
		if err := f.execute(ctx, step); err != nil {
			f.acceptFailures++
			f.logFailure(ctx, err, f.acceptFailures)
			f.schedule(f.retryDelay(f.acceptFailures))
			return
		}
	}
}

// execute performs one step and passes its result to the core.
func (f *follower) execute(ctx context.Context, step Step) error {
	switch step.Action {
	case ReadAccepted:
		o, err := f.cfg.Store.Get(ctx, AcceptedKey)
		if err != nil {
			return err
		}
		return f.takeAccepted(o)
	case ReadSubmission:
		o, err := f.readSubmission(ctx, step.Version)
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.core.TakeSubmission(step.Version, o, err)
	case ReadBase, ReadPrevious:
		return f.readOldVersion(ctx, step)
	default:
		return f.write(ctx, step)
	}
}

// readOldVersion reads an old version of Rules/Accepted.
func (f *follower) readOldVersion(ctx context.Context, step Step) error {
	o, err := f.cfg.Store.GetVersion(ctx, AcceptedKey, step.Version)
	if err != nil && code.Of(err) != code.StoreTooLarge {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if step.Action == ReadPrevious {
		f.core.TakePrevious(step.Version, o)
	} else {
		f.core.TakeBase(step.Version, o)
	}
	return nil
}

// readSubmission returns a version of Rules/Submitted.
func (f *follower) readSubmission(ctx context.Context, version int64) (mustardsaddle.Object, error) {
	if f.watchedSubmission.Version == version {
		return f.watchedSubmission, nil
	}
	return f.cfg.Store.GetVersion(ctx, SubmittedKey, version)
}

// write performs the conditional write of Rules/Accepted.
func (f *follower) write(ctx context.Context, step Step) error {
	version, err := f.cfg.Store.Put(ctx, AcceptedKey, step.Value, step.Version)
	f.mu.Lock()
	defer f.mu.Unlock()
	change, changed, failure := f.core.TakeWriteResult(step, version, err)
	f.applyChange(change, changed)
	switch {
	case err != nil:
	case step.Decision.Processed:
		f.logDecision(step.Decision)
	default:
		event.Warn(f.cfg.Logger, event.RulesRepaired).Int64("Version", version).
			Int64("Generation", step.Decision.Next.File.Generation).Send()
	}
	return failure
}

// logDecision logs the outcome of a submission.
func (f *follower) logDecision(d rule.Decision) {
	event.Info(f.cfg.Logger, event.RulesAccepted).Int64("Submission", d.Next.Submission).
		Int64("Generation", d.Next.File.Generation).Bool("Changed", d.Changed).Int("Refused", len(d.Refused)).Send()
	for _, p := range d.Refused {
		event.Warn(f.cfg.Logger, event.RulesRefused).Int64("Submission", d.Next.Submission).
			Int("Line", p.Line).Int("Code", int(p.Code)).Str("Text", p.Text).Send()
	}
}
