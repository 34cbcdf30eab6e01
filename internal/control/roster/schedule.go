package roster

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

const (
	// pageReaders is about how many gateways read one page often, over all zones.
	pageReaders = 6
	// slowFactor is how much longer than Poll other gateways wait at least.
	slowFactor = 2
	// minFleetReads is the least rate of either kind of reads by the whole fleet.
	minFleetReads = 1
)

// ScheduleConfig configures a Schedule.
type ScheduleConfig struct {
	// Self is the name of this gateway VM.
	Self string
	// Poll is the mean time between reads of a page by each of its readers.
	Poll time.Duration
	// FleetReads is how many reads a second the whole fleet may make, the readers
	// of pages as many as all others together.
	FleetReads float64
}

// Schedule decides when this gateway reads which page of the platform's list.
// Every page has a few readers in each availability zone, chosen by rendezvous,
// which read it often and spread what is new. All other gateways read every page
// slowly, which bounds the age of their roster when peers tell them nothing. Both
// kinds slow down as pages and gateways grow, so that the fleet keeps to its rate.
//
// A Schedule is a deterministic state machine, and not safe for concurrent use.
type Schedule struct {
	cfg   ScheduleConfig
	vms   []mustardsaddle.VM
	pages []string
	plans map[string]plan
}

// plan says how often a page is read, and when it is read next.
type plan struct {
	every time.Duration
	due   time.Time
}

// NewSchedule returns a Schedule without pages.
func NewSchedule(cfg ScheduleConfig) *Schedule {
	cfg.FleetReads = max(cfg.FleetReads, minFleetReads)
	return &Schedule{cfg: cfg, plans: make(map[string]plan)}
}

// SetFleet tells the gateway VMs, and the pages that the rules in force need. A
// page that is new here is due at once for its readers; for others within the
// time of a slow read.
func (s *Schedule) SetFleet(now time.Time, rng *rand.Rand, vms []mustardsaddle.VM, pages []string) {
	if slices.Equal(vms, s.vms) && slices.Equal(pages, s.pages) {
		return
	}
	s.vms, s.pages = slices.Clone(vms), slices.Clone(pages)
	zones := s.zones()
	perZone := max(1, pageReaders/zones)
	often := max(s.cfg.Poll, s.spread(perZone*zones))
	slow := max(slowFactor*s.cfg.Poll, s.spread(len(vms)))
	plans := make(map[string]plan, len(pages))
	for _, name := range pages {
		p := plan{every: slow}
		reader := ZoneRank(vms, s.cfg.Self, "Machines/"+name) < perZone
		if reader {
			p.every = often
		}
		old, known := s.plans[name]
		switch {
		case known:
			p.due = earlier(old.due, now.Add(p.every))
		case reader:
			p.due = now
		default:
			p.due = now.Add(time.Duration(rng.Float64() * float64(slow)))
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

// spread returns the time between reads of a page at which gateways that each
// read every page stay at half the rate of the fleet.
func (s *Schedule) spread(gateways int) time.Duration {
	seconds := float64(len(s.pages)*gateways) / (s.cfg.FleetReads / 2)
	return time.Duration(seconds * float64(time.Second))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Next returns the page that is due, and plans its next read; or, with false, the
// time until one is due.
func (s *Schedule) Next(now time.Time, rng *rand.Rand) (page string, wait time.Duration, ok bool) {
	if len(s.pages) == 0 {
		return "", s.cfg.Poll, false
	}
	first := slices.MinFunc(s.pages, func(a, b string) int {
		return cmp.Or(s.plans[a].due.Compare(s.plans[b].due), cmp.Compare(a, b))
	})
	p := s.plans[first]
	if p.due.After(now) {
		return "", p.due.Sub(now), false
	}
	p.due = now.Add(time.Duration((0.5 + rng.Float64()) * float64(p.every)))
	s.plans[first] = p
	return first, 0, true
}
