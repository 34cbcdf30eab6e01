package instance

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/control/roster"
)

const (
	// firstReadDelay is the delay before the list of gateways is read again if this gateway
	// was not listed: others that started at the same time may have registered since.
	firstReadDelay = 700 * time.Millisecond
	// secondReadDelay is the delay before the list of gateways is read again after this
	// gateway has registered itself: others that start at the same time register, too. The
	// second read may be stale, so the delay is longer than the directory may lag behind.
	secondReadDelay = 4 * time.Second
	// gatewayReadInterval is the mean time between later reads of the list of gateways.
	// They can be rare because links also announce new gateways.
	gatewayReadInterval = 30 * time.Second
	// gatewayRetryDelay is the delay before the next read of the list of gateways after
	// a failure.
	gatewayRetryDelay = time.Second
	// restoreReadSpacing is multiplied by the number of gateways to give the time over
	// which they read the list after the directory was restored.
	restoreReadSpacing = 10 * time.Millisecond
	// recentRegistration is the age up to which the entry of this gateway may be lost when
	// the directory is restored from an older copy.
	recentRegistration = time.Minute
)

// registration is the state of this gateway's entry in the directory.
type registration struct {
	// known is true once the list of gateways has been read. Later reads may be stale,
	// because links announce new gateways.
	known bool
	// readAgain is true once the list was read without an entry of this gateway, so that the
	// next read must not be stale either.
	readAgain bool
	// registeredAt is when the entry was last written; zero if it was found listed.
	registeredAt time.Time
	// restored is true if the directory was restored since the last read.
	restored bool
	// gone holds the gateways that were gone at the last read.
	gone map[string]bool
}

// exact reports whether the next read of the list must not be stale.
func (r *registration) exact() bool {
	return !r.known || r.restored
}

// mayBeLost reports whether a directory that was restored from an older copy at now may
// lack the entry.
func (r *registration) mayBeLost(now time.Time) bool {
	return !r.registeredAt.IsZero() && now.Sub(r.registeredAt) < recentRegistration
}

// mayBeLate reports whether a stale read at now may lack the entry although it was written.
func (r *registration) mayBeLate(now time.Time) bool {
	return now.Sub(r.registeredAt) < recentRegistration
}

// syncGateways reads the gateways from the directory, registers this one there, and
// removes the entries of gateways that are gone, until the context ends; then it
// closes done. After a restore of the directory, a gateway whose entry may be lost reads
// the list again at a random time, so that the gateways do not all read at once.
func (in *instance) syncGateways(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	var r registration
	for next := time.Now(); in.waitForSync(ctx, &r, next); {
		next = time.Now().Add(in.syncOnce(ctx, &r))
	}
}

// signalRestore makes syncGateways check the entry of this gateway.
func (in *instance) signalRestore() {
	notify(in.restored)
}

// waitForSync waits until the list of gateways is to be read: at next, or earlier if the
// directory was restored. It returns false if the context ends first.
func (in *instance) waitForSync(ctx context.Context, r *registration, next time.Time) bool {
	for {
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.C:
			return true
		case <-in.restored:
			timer.Stop()
			now := time.Now()
			if r.mayBeLost(now) {
				r.restored = true
				spread := time.Duration(max(in.membership.Roster().Gateways(), 1)) * restoreReadSpacing
				next = now.Add(rand.N(spread))
			}
		}
	}
}

// syncOnce reads the list of gateways, registers this gateway if it is not listed, and
// returns the pause until the next read. When the whole fleet starts for the first time no
// gateway is listed, so this one registers first: of two gateways that start at the same
// time at least one then reads the entry of the other.
func (in *instance) syncOnce(ctx context.Context, r *registration) time.Duration {
	if in.cfg.Settings.Platform.FirstStart && !r.known && r.registeredAt.IsZero() {
		if err := in.register(ctx, r); err != nil {
			return gatewayRetryDelay
		}
	}
	listed, unlisted, err := in.readGateways(ctx, r)
	if err != nil {
		return gatewayRetryDelay
	}
	if unlisted && in.register(ctx, r) != nil {
		return gatewayRetryDelay
	}
	in.floodNew("", in.membership.applyMachines(time.Now(), listed))
	if unlisted && !r.known && !r.readAgain {
		r.readAgain = true
		return firstReadDelay
	}
	in.gatewaysKnown.Store(true)
	if in.isListed(listed) {
		in.gateway.SetListed(time.Now(), machineNames(listed))
	}
	first := !r.known
	r.known, r.restored = true, false
	if first && !r.registeredAt.IsZero() {
		return secondReadDelay
	}
	r.gone = in.removeStaleEntries(ctx, listed, r.gone)
	return gatewayReadInterval/2 + rand.N(gatewayReadInterval)
}

// register writes the entry of this gateway.
func (in *instance) register(ctx context.Context, r *registration) error {
	if err := in.directory.Register(ctx, in.self); err != nil {
		in.logStoreFailure(ctx, err)
		return err
	}
	r.registeredAt = time.Now()
	return nil
}

// readGateways reads the list of gateways. Unlisted is true if this gateway is missing there.
func (in *instance) readGateways(ctx context.Context, r *registration) (listed []mustardsaddle.Machine, unlisted bool, err error) {
	exact := r.exact()
	u, err := in.directory.Snapshot(ctx, mustardsaddle.GatewaysCollection, exact)
	if err != nil {
		in.logStoreFailure(ctx, err)
		return nil, false, err
	}
	now := time.Now()
	if exact {
		in.catalog.ObserveResponse(now, u)
	}
	return u.Machines, !in.isListed(u.Machines) && (exact || !r.mayBeLate(now)), nil
}

// removeStaleEntries returns the names of the listed gateways that are gone: those that
// are leaving, or are unreachable from this gateway. If this gateway ranks first, it
// removes the entries of those that were also gone at the previous read. A gateway that
// is alive after all registers itself again.
func (in *instance) removeStaleEntries(ctx context.Context, listed []mustardsaddle.Machine, goneBefore map[string]bool) map[string]bool {
	vms := in.membership.Roster().VMs()
	responsible := roster.Rank(vms, in.self.Name, mustardsaddle.GatewaysCollection.String()) == 0
	leaving := make(map[string]bool)
	for _, vm := range vms {
		leaving[vm.Name] = vm.Leaving
	}
	gone := make(map[string]bool)
	for _, m := range listed {
		if !leaving[m.Name] {
			continue
		}
		gone[m.Name] = true
		if !responsible || !goneBefore[m.Name] {
			continue
		}
		event.Info(in.cfg.Logger, event.EntryRemoved).Str("VM", m.Name).Str("Address", m.Address).Send()
		if err := in.directory.Remove(ctx, m.Name); err != nil {
			in.logStoreFailure(ctx, err)
		}
	}
	return gone
}

// isListed reports whether the directory has an entry with this gateway's name, zone
// and address. The entry may be that of an earlier incarnation.
func (in *instance) isListed(machines []mustardsaddle.Machine) bool {
	return slices.ContainsFunc(machines, func(m mustardsaddle.Machine) bool {
		return m.Name == in.self.Name && m.Zone == in.self.Zone && m.Address == in.self.Peer
	})
}

func machineNames(machines []mustardsaddle.Machine) []string {
	names := make([]string, len(machines))
	for i, m := range machines {
		names[i] = m.Name
	}
	return names
}

func (in *instance) logStoreFailure(ctx context.Context, err error) {
	if ctx.Err() == nil {
		event.Warn(in.cfg.Logger, event.StoreFailed).Int("Code", int(code.Of(err))).Err(err).Send()
	}
}
