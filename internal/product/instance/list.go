package instance

import (
	"context"
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/control/roster"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

const (
	// gatewayPage is the page of the platform's list that names the gateway VMs.
	gatewayPage = ""
	// maxListWait bounds the wait for a page, so that new rules or VMs are seen.
	maxListWait = 200 * time.Millisecond
)

// followList reads pages of the platform's list of VMs until the context ends,
// then closes done. A page that cannot be read changes nothing.
func (in *instance) followList(ctx context.Context, done chan<- struct{}) {
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
		case <-time.After(min(wait, maxListWait)):
		}
	}
}

// pagesOf returns the pages that a rules file needs, in order.
func pagesOf(f rule.File) []string {
	pages := []string{gatewayPage}
	for _, r := range f.Rules() {
		for _, part := range r.Services() {
			pages = append(pages, part.Service)
		}
	}
	slices.Sort(pages)
	return slices.Compact(pages)
}

// readPage reads a page, and spreads what is new in it.
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
	in.spreadFresh("", in.membership.page(time.Now(), name, page))
}
