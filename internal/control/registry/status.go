package registry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/control/store"
)

const (
	// statusBytesPerSecond bounds the transfer rate of status reports, each of which
	// contains the whole file.
	statusBytesPerSecond = 8 << 10
	// maxStatusBackoff is the maximum delay between attempts while the store fails.
	maxStatusBackoff = 30 * time.Second
)

// reporter keeps Rules/InForce up to date. Changes are batched, and the gateway of
// rank 0 reports for the fleet. Reports have the lowest priority: a failed one is not
// retried, but a new one is composed later.
type reporter struct {
	*Registry
	limiter *rate.Limiter
	backoff store.Backoff
	// lastReport is the report as last read or written, at version; version is -1 if
	// the report must be read.
	lastReport rule.InForce
	version    int64
	failures   int
}

// report writes status reports until the context ends.
func (g *Registry) report(ctx context.Context) {
	r := &reporter{
		Registry: g,
		limiter:  rate.NewLimiter(statusBytesPerSecond, rule.MaxFileBytes),
		backoff:  store.Backoff{Base: g.cfg.Status, Max: maxStatusBackoff},
		version:  -1,
	}
	for store.Sleep(ctx, r.nextDelay()) {
		err := r.update(ctx)
		if err == nil {
			r.failures = 0
			continue
		}
		r.version = -1
		r.failures++
		if r.failures == 1 && ctx.Err() == nil {
			event.Warn(g.cfg.Logger, event.RulesStatusFailed).Err(err).Int("Code", int(code.Of(err))).Send()
		}
	}
}

func (r *reporter) nextDelay() time.Duration {
	return r.withRNG(func(rng *rand.Rand) time.Duration {
		if r.failures > 0 {
			return r.backoff.Delay(rng, r.failures)
		}
		return jittered(rng, r.cfg.Status)
	})
}

// update brings Rules/InForce up to date by one conditional write, unless the report
// is current or another gateway is responsible.
func (r *reporter) update(ctx context.Context) error {
	if r.cfg.Live != nil && r.cfg.Rank() > 0 {
		r.version = -1
		return nil
	}
	a, vms, latest := r.reportState()
	switch {
	case len(vms) == 0 || r.version >= 0 && latest && r.upToDate(a, vms):
		return nil
	case r.limiter.TokensAt(time.Now()) < float64(a.File.Size()):
		return nil
	case !latest:
		return r.readAccepted(ctx)
	}
	if r.version < 0 {
		if err := r.read(ctx); err != nil || r.upToDate(a, vms) {
			return err
		}
	}
	return r.write(ctx, a, vms)
}

// reserveBytes deducts the bytes of a call from the rate limit, even if they exceed
// what is available.
func (r *reporter) reserveBytes(n int) {
	r.limiter.ReserveN(time.Now(), n)
}

// readAccepted reads the accepted state. It is needed because peers send only the
// rules.
func (r *reporter) readAccepted(ctx context.Context) error {
	o, err := r.cfg.StatusStore.Get(ctx, AcceptedKey)
	if err != nil {
		return err
	}
	r.reserveBytes(len(o.Value))
	return r.takeAccepted(o)
}

// upToDate reports whether the last known report already contains the given state.
func (r *reporter) upToDate(a rule.Accepted, vms []rule.VM) bool {
	return r.lastReport.Covers(a, vms) && len(r.lastReport.FilterVMs(r.liveFilter()).VMs) == len(r.lastReport.VMs)
}

// read reads the report, which another gateway may have written.
func (r *reporter) read(ctx context.Context) error {
	o, err := r.cfg.StatusStore.Get(ctx, InForceKey)
	if err != nil {
		return err
	}
	r.reserveBytes(len(o.Value))
	r.lastReport, err = rule.ParseInForce(string(o.Value))
	if code.Of(err) == code.StoreNewerFormat {
		// A gateway with a newer format writes the reports; this one must not
		// overwrite them.
		return err
	}
	r.version = o.Version
	return nil
}

func (r *reporter) write(ctx context.Context, a rule.Accepted, vms []rule.VM) error {
	next := r.lastReport.WithAccepted(a).WithVMs(vms).FilterVMs(r.liveFilter())
	text := next.Format()
	r.reserveBytes(len(text))
	version, err := r.cfg.StatusStore.Put(ctx, InForceKey, []byte(text), r.version)
	if code.Of(err) == code.StoreConflict {
		r.version = -1
		return nil
	}
	if err == nil {
		r.lastReport, r.version = next, version
	}
	return err
}

// reportState returns the state to report: the accepted state, the generations of this
// gateway and of the peers that have announced theirs, and whether the accepted state
// is the latest.
func (g *Registry) reportState() (a rule.Accepted, vms []rule.VM, latest bool) {
	g.mu.Lock()
	a, latest = g.core.Latest()
	generation := g.core.File().Generation
	g.mu.Unlock()
	if generation == 0 && a.Submission == 0 {
		return a, nil, latest
	}
	vms = []rule.VM{{Name: g.cfg.Name, Generation: generation}}
	if g.cfg.Live == nil {
		return a, vms, latest
	}
	for _, vm := range g.cfg.Live() {
		if vm.Generation > 0 && vm.Name != g.cfg.Name {
			vms = append(vms, vm)
		}
	}
	return a, vms, latest
}

// liveFilter returns a function that reports whether a VM is live, so that its line
// stays in the report.
func (g *Registry) liveFilter() func(name string) bool {
	if g.cfg.Live == nil {
		return func(string) bool { return true }
	}
	live := g.cfg.Live()
	return func(name string) bool {
		return name == g.cfg.Name || slices.ContainsFunc(live, func(v rule.VM) bool { return v.Name == name })
	}
}
