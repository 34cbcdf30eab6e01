package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=OnFull -output=onfull_string.go

// OnFull is how a server handles a request when its slots and its queue are full.
type OnFull int

const (
	// Shed replies at once that the request has not run.
	Shed OnFull = iota
	// Reset resets the connection.
	Reset
	// Hang never replies.
	Hang
)

// Servers describes the simulated endpoint servers, which are all alike.
type Servers struct {
	// Count is the number of servers.
	Count int
	// PerZone is the number of servers in each zone; zero spreads Count evenly.
	PerZone [zones]int
	// Slots is how many requests a server runs at a time.
	Slots int
	// QueueLength is how many more requests may wait at a server.
	QueueLength int
	// OnFull is how a server handles requests beyond that.
	OnFull OnFull
	// Knee is the utilization of the slots above which all service times are
	// multiplied by KneeFactor.
	Knee       float64
	KneeFactor float64
	// NoiseShare is the share of servers with noisy neighbors, which multiply the
	// service times by NoiseFactor. The affected servers are redrawn every
	// NoiseInterval.
	NoiseShare    float64
	NoiseFactor   float64
	NoiseInterval time.Duration
	// ColdPeriod is the time after a restart during which service times are
	// multiplied by ColdFactor.
	ColdPeriod time.Duration
	ColdFactor float64
}

// reply is a server's reply to an attempt.
type reply struct {
	outcome mustardsaddle.Outcome
	failed  bool
	shed    bool
	report  mustardsaddle.Report
}

// job is an attempt that runs or waits at a server.
type job struct {
	// remaining is the remaining service time at nominal speed.
	remaining time.Duration
	respond   func(reply)
}

// server is a simulated endpoint server. All its running jobs progress at the same
// speed, which changes with the number of jobs, noisy neighbors and faults.
type server struct {
	name string
	zone string
	cfg  Servers
	loop *eventLoop
	rng  *rand.Rand

	// inTransit counts the requests that are on their way to the server.
	inTransit int
	running   []*job
	waiting   []*job
	// lastAdvance is the time up to which the progress of running jobs is accounted.
	lastAdvance time.Time
	// version counts the updates; a job completion that was scheduled before the
	// latest update is void.
	version int

	noisy bool
	// slowFactor multiplies service times during a Slow fault; 1 otherwise.
	slowFactor float64
	// unresponsive is true during a Dark fault.
	unresponsive bool
	// failureRate is the share of requests that fail during a Failing fault; 0
	// otherwise.
	failureRate float64
	// shedding is true during a Shedding fault.
	shedding bool
	// cold is true for the ColdPeriod after a restart.
	cold bool
}

// slowness returns the service time relative to nominal speed as the server reports
// it: it shows noisy neighbors alone.
func (s *server) slowness() float64 {
	if s.noisy {
		return s.cfg.NoiseFactor
	}
	return 1
}

// serviceTimeFactor returns the actual service time relative to nominal speed.
func (s *server) serviceTimeFactor() float64 {
	factor := s.slowness() * s.slowFactor
	if float64(len(s.running)) > s.cfg.Knee*float64(s.cfg.Slots) {
		factor *= s.cfg.KneeFactor
	}
	if s.cold {
		factor *= s.cfg.ColdFactor
	}
	return factor
}

// report returns the server's load report.
func (s *server) report() mustardsaddle.Report {
	return mustardsaddle.Report{
		InFlight: len(s.running) + len(s.waiting), Slots: s.cfg.Slots, Slowness: s.slowness(), At: s.loop.now,
	}
}

// accept runs, queues, sheds or fails a request. An unresponsive server never replies,
// nor does a full one with OnFull set to Hang.
func (s *server) accept(j *job) {
	switch {
	case s.unresponsive:
	case s.shedding:
		j.respond(reply{outcome: mustardsaddle.NotRun, shed: true, report: s.report()})
	case s.failureRate > 0 && s.rng.Float64() < s.failureRate:
		j.respond(reply{outcome: mustardsaddle.Ran, failed: true, report: s.report()})
	case len(s.running) < s.cfg.Slots:
		s.update(func() { s.running = append(s.running, j) })
	case len(s.waiting) < s.cfg.QueueLength:
		s.waiting = append(s.waiting, j)
	case s.cfg.OnFull == Shed:
		j.respond(reply{outcome: mustardsaddle.NotRun, shed: true, report: s.report()})
	case s.cfg.OnFull == Reset:
		j.respond(reply{outcome: mustardsaddle.Unknown, failed: true})
	}
}

// cancel removes a job whose gateway no longer waits for the reply.
func (s *server) cancel(j *job) {
	if i := slices.Index(s.waiting, j); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		return
	}
	if i := slices.Index(s.running, j); i >= 0 {
		s.update(func() {
			s.running = slices.Delete(s.running, i, i+1)
			s.fillSlots()
		})
	}
}

// fillSlots moves waiting jobs into free slots.
func (s *server) fillSlots() {
	for len(s.running) < s.cfg.Slots && len(s.waiting) > 0 {
		s.running = append(s.running, s.waiting[0])
		s.waiting = s.waiting[1:]
	}
}

// update applies a change that may affect the speed of the server: it first accounts
// the progress at the previous speed, and afterwards schedules the next job completion
// at the new one.
func (s *server) update(change func()) {
	s.advance()
	change()
	s.version++
	if s.unresponsive || len(s.running) == 0 {
		return
	}
	first := slices.MinFunc(s.running, func(a, b *job) int { return int(a.remaining - b.remaining) })
	version := s.version
	s.loop.scheduleAfter(time.Duration(float64(first.remaining)*s.serviceTimeFactor()), func() {
		if version == s.version {
			s.complete(first)
		}
	})
}

// advance accounts the progress of the running jobs since the last call. An
// unresponsive server makes no progress.
func (s *server) advance() {
	progress := time.Duration(float64(s.loop.now.Sub(s.lastAdvance)) / s.serviceTimeFactor())
	s.lastAdvance = s.loop.now
	if s.unresponsive {
		return
	}
	for _, j := range s.running {
		j.remaining -= progress
	}
}

// complete removes a finished job and responds to its request. The load report in the
// reply still counts the job.
func (s *server) complete(j *job) {
	rep := s.report()
	s.update(func() {
		s.running = slices.DeleteFunc(s.running, func(other *job) bool { return other == j })
		s.fillSlots()
	})
	j.respond(reply{outcome: mustardsaddle.Ran, report: rep})
}

// restart restarts the server: its jobs are lost, and it is cold for the ColdPeriod.
func (s *server) restart() {
	s.update(func() {
		s.running, s.waiting = nil, nil
		s.unresponsive, s.cold = false, true
	})
	s.loop.scheduleAfter(s.cfg.ColdPeriod, func() { s.update(func() { s.cold = false }) })
}
