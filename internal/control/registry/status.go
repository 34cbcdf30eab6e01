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
	// statusBytesPerSecond bounds the reports, which hold the whole file.
	statusBytesPerSecond = 8 << 10
	// maxStatusPause is the longest pause between tries while the store fails.
	maxStatusPause = 30 * time.Second
)

// reporter keeps Rules/InForce up to date. Reports are gathered, sent from the
// first gateway for all, and give way to everything else: one that fails is not
// sent again but made anew later.
type reporter struct {
	*Registry
	limiter *rate.Limiter
	backoff store.Backoff
	// written is the report as last read or written, at version; version is -1
	// when it must be read.
	written  rule.InForce
	version  int64
	failures int
}

// report reports until the context ends.
func (g *Registry) report(ctx context.Context) {
	r := &reporter{
		Registry: g,
		limiter:  rate.NewLimiter(statusBytesPerSecond, rule.MaxFileBytes),
		backoff:  store.Backoff{Base: g.cfg.Status, Max: maxStatusPause},
		version:  -1,
	}
	for store.Sleep(ctx, r.pause()) {
		err := r.once(ctx)
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

func (r *reporter) pause() time.Duration {
	return r.random(func(rng *rand.Rand) time.Duration {
		if r.failures > 0 {
			return r.backoff.Delay(rng, r.failures)
		}
		return jittered(rng, r.cfg.Status)
	})
}

// once brings Rules/InForce up to date by one conditional write, unless it is or
// another gateway does it.
func (r *reporter) once(ctx context.Context) error {
	if r.cfg.Live != nil && r.cfg.Rank() > 0 {
		r.version = -1
		return nil
	}
	a, vms, latest := r.state()
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

// spend takes the bytes of a call, if need be before they are there.
func (r *reporter) spend(n int) {
	r.limiter.ReserveN(time.Now(), n)
}

// readAccepted reads the accepted state, of which peers bring the rules alone.
func (r *reporter) readAccepted(ctx context.Context) error {
	o, err := r.cfg.StatusStore.Get(ctx, AcceptedKey)
	if err != nil {
		return err
	}
	r.spend(len(o.Value))
	return r.take(o)
}

// upToDate reports whether the report as known says what there is to say.
func (r *reporter) upToDate(a rule.Accepted, vms []rule.VM) bool {
	return r.written.Has(a, vms) && len(r.written.WithOnly(r.live()).VMs) == len(r.written.VMs)
}

// read reads the report, of this gateway or another one.
func (r *reporter) read(ctx context.Context) error {
	o, err := r.cfg.StatusStore.Get(ctx, InForceKey)
	if err != nil {
		return err
	}
	r.spend(len(o.Value))
	r.written, err = rule.ParseInForce(string(o.Value))
	if code.Of(err) == code.StoreNewerFormat {
		// A newer gateway reports; an older one must not undo that.
		return err
	}
	r.version = o.Version
	return nil
}

func (r *reporter) write(ctx context.Context, a rule.Accepted, vms []rule.VM) error {
	next := r.written.WithAccepted(a).WithVMs(vms).WithOnly(r.live())
	text := next.Format()
	r.spend(len(text))
	version, err := r.cfg.StatusStore.Put(ctx, InForceKey, []byte(text), r.version)
	if code.Of(err) == code.StoreConflict {
		r.version = -1
		return nil
	}
	if err == nil {
		r.written, r.version = next, version
	}
	return err
}

// state returns what this gateway can report: the accepted state, the generations
// of itself and of the VMs that it heard from, and whether the state is the latest.
func (g *Registry) state() (a rule.Accepted, vms []rule.VM, latest bool) {
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

// live returns the test for VMs whose lines stay in the report.
func (g *Registry) live() func(name string) bool {
	if g.cfg.Live == nil {
		return func(string) bool { return true }
	}
	live := g.cfg.Live()
	return func(name string) bool {
		return name == g.cfg.Name || slices.ContainsFunc(live, func(v rule.VM) bool { return v.Name == name })
	}
}
