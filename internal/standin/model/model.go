// Package model simulates the systems that gateways serve: endpoint servers whose
// speed changes many times a second, callers that come back after a refusal, and
// troubles of both. The gateways in it decide by the product's own cores: a chooser,
// the queue of calls, the state of a call and its budgets. Nothing is sent, no clock
// is read, and equal seeds give equal runs, so that policies can be compared side by
// side in a second, and each load pattern can be a test.
//
// # Usage
//
//	result := model.Run(model.Config{Pattern: pattern, Policy: policy, Seed: 1})
//	fmt.Println(result.Worth())
//
// # What is left out
//
// Connections, their cost and their loss; the gateways' own time and their failures;
// the store and the links: every gateway knows all servers all the time. Bytes cost
// nothing.
package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

// start is when all runs begin.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC) //nolint:gochecknoglobals // a constant

// zones is the number of availability zones over which gateways and servers spread.
const zones = 3

// maxTail bounds the time after the last new request in which callers come back.
const maxTail = 10 * time.Minute

// Kind is a kind of request.
type Kind struct {
	// Name names the kind in reports.
	Name string
	// PerSecond is the usual rate of new requests.
	PerSecond float64
	// Work is the mean time of an undisturbed request, and Spread the standard
	// deviation as a share of it.
	Work   time.Duration
	Spread float64
	// Target is when an answer is worth less, Deadline when it is worth nothing.
	Target   time.Duration
	Deadline time.Duration
	// Worth is what an answer in time earns, Late what a later one earns.
	Worth float64
	Late  float64
	// Priority is the rank of the kind, of which 0 is the highest.
	Priority int
	// Idempotent requests may be sent again.
	Idempotent bool
}

// Callers describes who calls.
type Callers struct {
	// Kinds are the kinds of requests.
	Kinds []Kind
	// Retries is how often a caller comes back after a refusal or a failure.
	Retries int
}

// Network describes the delays, one way.
type Network struct {
	// Zone is the delay inside an availability zone, Across between two.
	Zone   time.Duration
	Across time.Duration
}

// Config configures a run.
type Config struct {
	// Pattern is what is served.
	Pattern Pattern
	// Policy is how the gateways decide.
	Policy Policy
	// Seed seeds arrivals, work, noise and choices.
	Seed uint64
}

// world is the state of one run.
type world struct {
	cfg      Config
	loop     loop
	servers  []*server
	byName   map[string]*server
	gateways []*gateway
	result   *Result
	arrivals *rand.Rand
	noise    *rand.Rand
}

// Run plays a pattern under a policy.
func Run(cfg Config) *Result {
	w := &world{
		cfg:      cfg,
		loop:     loop{now: start},
		byName:   make(map[string]*server),
		result:   newResult(cfg),
		arrivals: rand.New(rand.NewPCG(cfg.Seed, 1)),
		noise:    rand.New(rand.NewPCG(cfg.Seed, 2)),
	}
	w.addServers()
	w.addGateways()
	w.stir()
	for _, t := range cfg.Pattern.Troubles {
		w.plan(t)
	}
	for _, kind := range cfg.Pattern.Callers.Kinds {
		w.nextArrival(kind)
	}
	end := start.Add(cfg.Pattern.Duration)
	w.loop.run(end)
	for w.result.Total() < w.result.Asked && w.loop.now.Sub(end) < maxTail {
		w.loop.run(w.loop.now.Add(time.Second))
	}
	return w.result
}

func zoneOf(i int) string {
	return fmt.Sprintf("zone-%d", i%zones)
}

func (w *world) addServers() {
	cfg := w.cfg.Pattern.Servers
	for i := range cfg.Count {
		s := &server{
			name: fmt.Sprintf("booking-%03d", i), zone: zoneOf(i), cfg: cfg, loop: &w.loop, advanced: start, slow: 1,
			rng: rand.New(rand.NewPCG(w.cfg.Seed, uint64(100+i))),
		}
		w.servers = append(w.servers, s)
		w.byName[s.name] = s
	}
}

func (w *world) addGateways() {
	list := make([]mustardsaddle.Server, 0, len(w.servers))
	for _, s := range w.servers {
		list = append(list, mustardsaddle.Server{
			Name: s.name, Incarnation: 1, Address: s.name, Service: "Booking", Zone: s.zone, Slots: s.cfg.Slots,
		})
	}
	n := w.cfg.Pattern.Gateways
	if w.cfg.Policy.Exact {
		n = 1
	}
	var vms []mustardsaddle.VM
	for i := range n {
		vms = append(vms, mustardsaddle.VM{Name: fmt.Sprintf("gateway-%03d", i), Incarnation: 1, Zone: zoneOf(i)})
	}
	for i, vm := range vms {
		w.gateways = append(w.gateways, newGateway(w, vm, vms, list, uint64(i)))
	}
}

// stir draws which servers have noisy neighbors, again and again.
func (w *world) stir() {
	for _, s := range w.servers {
		noisy := w.noise.Float64() < s.cfg.NoiseShare
		if noisy != s.noisy {
			s.change(func() { s.noisy = noisy })
		}
	}
	if every := w.cfg.Pattern.Servers.NoiseEvery; every > 0 {
		w.loop.after(every, w.stir)
	}
}

// nextArrival plans the next new request of a kind.
func (w *world) nextArrival(kind Kind) {
	rate := kind.PerSecond * w.cfg.Pattern.rate(w.loop.now.Sub(start))
	wait := time.Duration(w.arrivals.ExpFloat64() / rate * float64(time.Second))
	work := kind.draw(w.arrivals)
	via := w.arrivals.Uint64()
	w.loop.after(wait, func() {
		if w.loop.now.Sub(start) >= w.cfg.Pattern.Duration {
			return
		}
		w.nextArrival(kind)
		r := &request{kind: kind, work: work, first: w.loop.now, retries: w.cfg.Pattern.Callers.Retries, via: via}
		w.result.asked(r)
		w.send(r)
	})
}

// draw draws the work of one request.
func (k Kind) draw(rng *rand.Rand) time.Duration {
	factor := max(1+k.Spread*rng.NormFloat64(), minWork)
	return time.Duration(float64(k.Work) * factor)
}

// minWork is the least work of a request as a share of the mean.
const minWork = 0.2

// request is what a caller wants, over all its tries.
type request struct {
	kind    Kind
	work    time.Duration
	first   time.Time
	retries int
	// via draws the gateway of each try.
	via uint64
}

// send lets the caller try once.
func (w *world) send(r *request) {
	g := w.gateways[r.via%uint64(len(w.gateways))]
	r.via /= uint64(len(w.gateways))
	g.serve(r)
}

// answered takes the final answer of one try.
func (w *world) answered(r *request, a answer) {
	if a.end == Served || r.retries == 0 {
		w.result.ended(r, a.end, w.loop.now)
		return
	}
	r.retries--
	w.loop.after(a.retryAfter, func() { w.send(r) })
}
