package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=OnFull -output=onfull_string.go

// OnFull is what a server does with a request for which it has no room.
type OnFull int

const (
	// Shed answers at once that the request has not run.
	Shed OnFull = iota
	// Reset breaks the connection.
	Reset
	// Hang never answers.
	Hang
)

// Servers describes the endpoint servers of the model.
type Servers struct {
	// Count is the number of servers.
	Count int
	// Slots is how many requests a server runs at a time.
	Slots int
	// Queue is how many more wait.
	Queue int
	// OnFull is what becomes of the rest.
	OnFull OnFull
	// Knee is the share of taken slots above which all work takes KneeFactor times
	// as long.
	Knee       float64
	KneeFactor float64
	// NoiseShare is the share of servers whose neighbors make work take NoiseFactor
	// times as long; which ones changes every NoiseEvery.
	NoiseShare  float64
	NoiseFactor float64
	NoiseEvery  time.Duration
	// Cold is how long a started server is slow, by ColdFactor.
	Cold       time.Duration
	ColdFactor float64
}

// reply is how a server answers a request or a question.
type reply struct {
	outcome mustardsaddle.Outcome
	failed  bool
	shed    bool
	report  mustardsaddle.Report
}

// job is a request in a server.
type job struct {
	// left is the work that is left, at the usual speed.
	left   time.Duration
	answer func(reply)
}

// server is one endpoint server. Its running jobs share its speed, which changes
// with the number of jobs, its neighbors and the troubles of the pattern.
type server struct {
	name string
	zone string
	cfg  Servers
	loop *loop
	rng  *rand.Rand

	// coming counts the requests that are on their way to the server.
	coming  int
	running []*job
	waiting []*job
	// advanced is up to when the work of running jobs is taken off.
	advanced time.Time
	// plan numbers the planned ends of jobs, of which only the newest counts.
	plan int

	noisy bool
	// slow multiplies the time of work while a trouble lasts; 1 is as usual.
	slow float64
	// dark is true while the server accepts requests and answers nothing.
	dark bool
	// failing is the share of requests that fail although questions are answered.
	failing float64
	// shedding is true while all requests are shed although questions are answered.
	shedding bool
	// cold is true after a start.
	cold bool
}

// slowness is how long work takes on the server's VM as a multiple of the usual.
func (s *server) slowness() float64 {
	if s.noisy {
		return s.cfg.NoiseFactor
	}
	return 1
}

// stretch is how long work takes in all, as a multiple of the usual.
func (s *server) stretch() float64 {
	factor := s.slowness() * s.slow
	if float64(len(s.running)) > s.cfg.Knee*float64(s.cfg.Slots) {
		factor *= s.cfg.KneeFactor
	}
	if s.cold {
		factor *= s.cfg.ColdFactor
	}
	return factor
}

// report is what the server says of its load.
func (s *server) report() mustardsaddle.Report {
	return mustardsaddle.Report{
		InFlight: len(s.running) + len(s.waiting), Slots: s.cfg.Slots, Slowness: s.slowness(), At: s.loop.now,
	}
}

// take accepts a request, whose answer is given to the function, unless it hangs.
func (s *server) take(j *job) {
	switch {
	case s.dark:
	case s.shedding:
		j.answer(reply{outcome: mustardsaddle.NotRun, shed: true, report: s.report()})
	case s.failing > 0 && s.rng.Float64() < s.failing:
		j.answer(reply{outcome: mustardsaddle.Ran, failed: true, report: s.report()})
	case len(s.running) < s.cfg.Slots:
		s.change(func() { s.running = append(s.running, j) })
	case len(s.waiting) < s.cfg.Queue:
		s.waiting = append(s.waiting, j)
	case s.cfg.OnFull == Shed:
		j.answer(reply{outcome: mustardsaddle.NotRun, shed: true, report: s.report()})
	case s.cfg.OnFull == Reset:
		j.answer(reply{outcome: mustardsaddle.Unknown, failed: true})
	}
}

// drop removes a request whose caller has gone.
func (s *server) drop(j *job) {
	if i := slices.Index(s.waiting, j); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		return
	}
	if i := slices.Index(s.running, j); i >= 0 {
		s.change(func() {
			s.running = slices.Delete(s.running, i, i+1)
			s.refill()
		})
	}
}

// refill moves waiting requests into free slots.
func (s *server) refill() {
	for len(s.running) < s.cfg.Slots && len(s.waiting) > 0 {
		s.running = append(s.running, s.waiting[0])
		s.waiting = s.waiting[1:]
	}
}

// change takes the work that was done at the present speed off, makes a change, and
// plans the next end of a job at the new speed.
func (s *server) change(do func()) {
	s.advance()
	do()
	s.plan++
	if s.dark || len(s.running) == 0 {
		return
	}
	first := slices.MinFunc(s.running, func(a, b *job) int { return int(a.left - b.left) })
	plan := s.plan
	s.loop.after(time.Duration(float64(first.left)*s.stretch()), func() {
		if plan == s.plan {
			s.finish(first)
		}
	})
}

// advance takes the work off that was done since the last change.
func (s *server) advance() {
	done := time.Duration(float64(s.loop.now.Sub(s.advanced)) / s.stretch())
	s.advanced = s.loop.now
	if s.dark {
		return
	}
	for _, j := range s.running {
		j.left -= done
	}
}

// finish ends a job and answers its request. The report in the answer still counts it.
func (s *server) finish(j *job) {
	rep := s.report()
	s.change(func() {
		s.running = slices.DeleteFunc(s.running, func(other *job) bool { return other == j })
		s.refill()
	})
	j.answer(reply{outcome: mustardsaddle.Ran, report: rep})
}

// start starts the server anew: what was in it is lost, and it is cold for a while.
func (s *server) start() {
	s.change(func() {
		s.running, s.waiting = nil, nil
		s.dark, s.cold = false, true
	})
	s.loop.after(s.cfg.Cold, func() { s.change(func() { s.cold = false }) })
}
