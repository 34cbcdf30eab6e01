package instance

import (
	"context"
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/control/roster"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

const (
	// gatewayPage is the page of the platform's list that contains the gateway VMs.
	gatewayPage = ""
	// maxPollWait bounds the wait for the next page that is due, so that new pages and
	// VMs are scheduled soon.
	maxPollWait = 200 * time.Millisecond
)

// pollList polls the pages of the platform's list of VMs until the context ends, then
// closes done. A page that cannot be read leaves the roster as it is.
func (in *instance) pollList(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	p := in.cfg.Settings.Platform
	schedule := roster.NewSchedule(roster.ScheduleConfig{Self: in.self.Name, Poll: p.Poll, FleetReads: p.ReadsPerSecond / 2})
	versions := make(map[string]string)
	for ctx.Err() == nil {
		now := time.Now()
		schedule.SetFleet(now, in.rng, in.membership.Roster().VMs(), *in.pages.Load())
		page, wait, ok := schedule.Next(now, in.rng)
		if ok {
			in.readPage(ctx, page, versions)
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(min(wait, maxPollWait)):
		}
	}
}

// requiredPages returns the pages that a rules file needs, sorted: that of the
// gateways and one for each service.
func requiredPages(f rule.File) []string {
	pages := []string{gatewayPage}
	for _, r := range f.Rules() {
		for _, service := range r.Services() {
			pages = append(pages, service.Service)
		}
	}
	slices.Sort(pages)
	return slices.Compact(pages)
}

// readPage reads a page, applies it, and floods what is new in it.
func (in *instance) readPage(ctx context.Context, name string, versions map[string]string) {
	page, err := in.store.Machines(ctx, name, versions[name])
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		in.logStoreFailure(ctx, err)
		return
	}
	if page.Changed {
		versions[name] = page.Version
	}
	for _, err := range page.Skipped {
		event.Warn(in.cfg.Logger, event.EntrySkipped).Str("Collection", name).Err(err).Send()
	}
	in.floodNew("", in.membership.applyPage(time.Now(), name, page))
	if name == gatewayPage {
		in.confirmListed(time.Now())
	}
}

// confirmListed records that the list of gateways was read.
func (in *instance) confirmListed(now time.Time) {
	var names []string
	for _, vm := range in.membership.Roster().VMs() {
		names = append(names, vm.Name)
	}
	in.gateway.SetListed(now, names)
}
