package registry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/product/code"
	"mustardsaddle.example/mustardsaddle/internal/product/event"
)

// maxStatusDelay is the longest pause between tries to report while the store
// fails or refuses.
const maxStatusDelay = 30 * time.Second

// report keeps Rules/InForce up to date until the context ends. It gathers
// changes, and gives way to everything else: a report that fails is not sent
// again but made anew later.
func (g *Registry) report(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.changed:
		}
		failures := 0
		for done := false; !done; {
			if !sleep(ctx, g.statusDelay(failures)) {
				return
			}
			// Changes up to here are in this report.
			select {
			case <-g.changed:
			default:
			}
			var err error
			done, err = g.reportOnce(ctx)
			if err == nil {
				continue
			}
			failures++
			if failures == 1 && ctx.Err() == nil {
				event.Warn(g.cfg.Logger, event.RulesStatusFailed).Err(err).Int("Code", int(code.Of(err))).Send()
			}
		}
	}
}

func (g *Registry) statusDelay(failures int) time.Duration {
	rank, fleet := g.cfg.Rank(), g.cfg.Fleet()
	d := g.random(func(rng *rand.Rand) time.Duration { return StatusDelay(rng, g.cfg.Status, rank, fleet) })
	return min(d<<min(failures, 5), max(d, maxStatusDelay))
}

// reportOnce brings Rules/InForce up to date by one conditional write, unless it
// is already. It returns false when another try is needed.
func (g *Registry) reportOnce(ctx context.Context) (bool, error) {
	a, vms := g.state()
	if len(vms) == 0 {
		return true, nil
	}
	o, err := g.cfg.StatusStore.Get(ctx, InForceKey)
	if err != nil {
		return false, err
	}
	status, err := rule.ParseInForce(string(o.Value))
	if code.Of(err) == code.StoreNewerFormat {
		// A newer gateway reports; an older one must not undo that.
		return true, nil
	}
	if err == nil && status.Has(a, vms) {
		return true, nil
	}
	status = status.WithAccepted(a).WithVMs(vms).WithOnly(g.live())
	_, err = g.cfg.StatusStore.Put(ctx, InForceKey, []byte(status.Format()), o.Version)
	if code.Of(err) == code.StoreConflict {
		return false, nil
	}
	return err == nil, err
}

// state returns what this gateway can report: the accepted state if the store's
// copy is known, and the generations of itself and of the VMs that it heard from.
func (g *Registry) state() (rule.Accepted, []rule.VM) {
	g.mu.Lock()
	a, ok := g.core.Accepted()
	generation := g.core.File().Generation
	g.mu.Unlock()
	if !ok {
		a = rule.Accepted{}
	}
	if generation == 0 && a.Submission == 0 {
		return a, nil
	}
	vms := []rule.VM{{Name: g.cfg.Name, Generation: generation}}
	if g.cfg.Live == nil {
		return a, vms
	}
	for _, vm := range g.cfg.Live() {
		if vm.Generation > 0 && vm.Name != g.cfg.Name {
			vms = append(vms, vm)
		}
	}
	return a, vms
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
