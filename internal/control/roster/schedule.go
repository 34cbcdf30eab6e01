package roster

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

const (
	// pageReaders is the approximate number of gateways, over all zones, that read one
	// page frequently.
	pageReaders = 6
	// minSlowFactor is the minimum ratio of the read interval of the other gateways to
	// Poll.
	minSlowFactor = 2
	// minFleetReads is the minimum value of ScheduleConfig.FleetReads, in reads per
	// second.
	minFleetReads = 1
)

// ScheduleConfig configures a Schedule.
type ScheduleConfig struct {
	// Self is the name of this gateway VM.
	Self string
	// Poll is the mean time between reads of a page by each of its readers.
	Poll time.Duration
	// FleetReads is the maximum read rate of the whole fleet, in reads per second. One
	// half of it is for the readers of pages, the other half for the reads of all
	// other gateways.
	FleetReads float64
}

// Schedule determines when this gateway reads which page of the platform's list. Every
// page has a few readers in each availability zone, chosen by rendezvous hashing,
// which read it frequently and send what is new to their peers. All other gateways
// read the page at a longer interval, which bounds the age of their roster if peers
// send them nothing. Both intervals grow with the number of pages and gateways, so
// that the fleet stays within its read rate.
//
// A Schedule is a deterministic state machine and not safe for concurrent use.
type Schedule struct {
	cfg   ScheduleConfig
	vms   []mustardsaddle.VM
	pages []string
	plans map[string]pagePlan
}

// pagePlan holds the read interval of a page and the time of its next read.
type pagePlan struct {
	interval time.Duration
	nextRead time.Time
}

// NewSchedule returns a Schedule without pages.
func NewSchedule(cfg ScheduleConfig) *Schedule {
	cfg.FleetReads = max(cfg.FleetReads, minFleetReads)
	return &Schedule{cfg: cfg, plans: make(map[string]pagePlan)}
}

// SetFleet sets the gateway VMs, and the pages that the rules in force need. A page that
// is new to this gateway is due at once if the gateway is one of its readers,
// otherwise at a random time within the longer interval.
func (s *Schedule) SetFleet(now time.Time, rng *rand.Rand, vms []mustardsaddle.VM, pages []string) {
	if slices.Equal(vms, s.vms) && slices.Equal(pages, s.pages) {
		return
	}
	s.vms, s.pages = slices.Clone(vms), slices.Clone(pages)
	zones := s.zones()
	perZone := max(1, pageReaders/zones)
	readerInterval := max(s.cfg.Poll, s.rateLimitedInterval(perZone*zones))
	slowInterval := max(minSlowFactor*s.cfg.Poll, s.rateLimitedInterval(len(vms)))
	plans := make(map[string]pagePlan, len(pages))
	for _, name := range pages {
		p := pagePlan{interval: slowInterval}
		reader := ZoneRank(vms, s.cfg.Self, "Machines/"+name) < perZone
		if reader {
			p.interval = readerInterval
		}
		old, known := s.plans[name]
		switch {
		case known:
			p.nextRead = earlier(old.nextRead, now.Add(p.interval))
		case reader:
			p.nextRead = now
		default:
			p.nextRead = now.Add(time.Duration(rng.Float64() * float64(slowInterval)))
		}
		plans[name] = p
	}
	s.plans = plans
}

// zones returns the number of availability zones with a live gateway.
func (s *Schedule) zones() int {
	zones := make(map[string]bool)
	for _, vm := range s.vms {
		if !vm.Leaving {
			zones[vm.Zone] = true
		}
	}
	return max(1, len(zones))
}

// rateLimitedInterval returns the read interval of a page at which the given number of
// gateways, each reading every page, use half of the read rate of the fleet.
func (s *Schedule) rateLimitedInterval(gateways int) time.Duration {
	seconds := float64(len(s.pages)*gateways) / (s.cfg.FleetReads / 2)
	return time.Duration(seconds * float64(time.Second))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Next returns the page whose read is due first, and schedules its next read. If no
// page is due, it returns false and the time until the next one is.
func (s *Schedule) Next(now time.Time, rng *rand.Rand) (page string, wait time.Duration, ok bool) {
	if len(s.pages) == 0 {
		return "", s.cfg.Poll, false
	}
	first := slices.MinFunc(s.pages, func(a, b string) int {
		return cmp.Or(s.plans[a].nextRead.Compare(s.plans[b].nextRead), cmp.Compare(a, b))
	})
	p := s.plans[first]
	if p.nextRead.After(now) {
		return "", p.nextRead.Sub(now), false
	}
	p.nextRead = now.Add(time.Duration((0.5 + rng.Float64()) * float64(p.interval)))
	s.plans[first] = p
	return first, 0, true
}
