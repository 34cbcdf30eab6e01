// Package model is a discrete-event simulation of the systems that gateways serve:
// endpoint servers whose speed changes many times a second, callers that retry after
// a refusal, server faults and traffic bursts. The simulated gateways run the load
// balancer's own decision logic: a chooser, the queue of calls, the state of a call and
// its budgets. The simulation performs no I/O and reads no clock, and equal seeds give
// equal runs. Policies can therefore be compared side by side within a second, and each
// load pattern can serve as a test.
//
// # Usage
//
//	result := model.Run(model.Config{Pattern: pattern, Policy: policy, Seed: 1})
//	fmt.Println(result.Worth())
//
// # Limitations
//
// The following is not simulated: connections, their cost and their loss; processing
// time and failures of gateways; the object store and the links between gateways, so
// that every gateway always knows all servers; and bandwidth.
package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

// epoch is the simulated time at which every run starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC) //nolint:gochecknoglobals // a constant

// zones is the number of availability zones across which gateways and servers are
// spread.
const zones = 3

// maxDrain limits the simulated time after the last arrival in which callers retry and
// outstanding requests end.
const maxDrain = 10 * time.Minute

// RequestClass describes requests of the same cost, importance and time limits.
type RequestClass struct {
	// Name identifies the class.
	Name string
	// Rate is the base arrival rate of new requests, per second.
	Rate float64
	// Work is the mean service time of a request on a server at nominal speed, and
	// Deviation its standard deviation relative to the mean.
	Work      time.Duration
	Deviation float64
	// Target is the latency of a request, retries included, above which a response
	// has only LateValue. Deadline is the time limit of each call.
	Target   time.Duration
	Deadline time.Duration
	// Value is the value of a response within Target, LateValue that of a later one.
	Value     float64
	LateValue float64
	// Priority is the priority of the class; 0 is the highest.
	Priority int
	// Idempotent states that a request may be sent again after it may have run.
	Idempotent bool
}

// Callers describes the workload.
type Callers struct {
	// Classes are the classes of requests.
	Classes []RequestClass
	// Retries is how many times a caller retries a request that was not served.
	Retries int
}

// Network describes the one-way network delays.
type Network struct {
	// WithinZone is the delay inside an availability zone, CrossZone that between
	// two zones.
	WithinZone time.Duration
	CrossZone  time.Duration
}

// Config configures a run.
type Config struct {
	// Pattern is the simulated system and its load.
	Pattern Pattern
	// Policy is the load balancing policy of the gateways.
	Policy Policy
	// Seed seeds the random generators of arrivals, service times, noisy neighbors
	// and choices.
	Seed uint64
}

// simulation is the state of one run.
type simulation struct {
	cfg      Config
	loop     eventLoop
	servers  []*server
	byName   map[string]*server
	gateways []*gateway
	result   *Result
	arrivals *rand.Rand
	noise    *rand.Rand
}

// Run simulates a pattern under a policy.
func Run(cfg Config) *Result {
	sim := &simulation{
		cfg:      cfg,
		loop:     eventLoop{now: epoch},
		byName:   make(map[string]*server),
		result:   newResult(cfg),
		arrivals: rand.New(rand.NewPCG(cfg.Seed, 1)),
		noise:    rand.New(rand.NewPCG(cfg.Seed, 2)),
	}
	sim.addServers()
	sim.addGateways()
	sim.redrawNoise()
	for _, f := range cfg.Pattern.Faults {
		sim.scheduleFault(f)
	}
	for _, class := range cfg.Pattern.Callers.Classes {
		sim.scheduleArrival(class)
	}
	end := epoch.Add(cfg.Pattern.Duration)
	sim.loop.runUntil(end)
	for sim.result.Total() < sim.result.Asked && sim.loop.now.Sub(end) < maxDrain {
		sim.loop.runUntil(sim.loop.now.Add(time.Second))
	}
	return sim.result
}

func zoneOf(i int) string {
	return fmt.Sprintf("zone-%d", i%zones)
}

func (sim *simulation) addServers() {
	cfg := sim.cfg.Pattern.Servers
	for i := range cfg.Count {
		s := &server{
			name: fmt.Sprintf("booking-%03d", i), zone: cfg.zone(i), cfg: cfg, loop: &sim.loop, lastAdvance: epoch, slowFactor: 1,
			rng: rand.New(rand.NewPCG(sim.cfg.Seed, uint64(100+i))),
		}
		sim.servers = append(sim.servers, s)
		sim.byName[s.name] = s
	}
}

func (sim *simulation) addGateways() {
	list := make([]mustardsaddle.Server, 0, len(sim.servers))
	for _, s := range sim.servers {
		list = append(list, mustardsaddle.Server{
			Name: s.name, Incarnation: 1, Address: s.name, Service: "Booking", Zone: s.zone, Slots: s.cfg.Slots,
		})
	}
	n := sim.cfg.Pattern.Gateways
	if sim.cfg.Policy.PerfectInformation {
		n = 1
	}
	var vms []mustardsaddle.VM
	for i := range n {
		vms = append(vms, mustardsaddle.VM{Name: fmt.Sprintf("gateway-%03d", i), Incarnation: 1, Zone: zoneOf(i)})
	}
	for i, vm := range vms {
		sim.gateways = append(sim.gateways, newGateway(sim, vm, vms, list, uint64(i)))
	}
}

// redrawNoise periodically draws at random which servers have noisy neighbors.
func (sim *simulation) redrawNoise() {
	for _, s := range sim.servers {
		noisy := sim.noise.Float64() < s.cfg.NoiseShare
		if noisy != s.noisy {
			s.update(func() { s.noisy = noisy })
		}
	}
	if interval := sim.cfg.Pattern.Servers.NoiseInterval; interval > 0 {
		sim.loop.scheduleAfter(interval, sim.redrawNoise)
	}
}

// scheduleArrival schedules the next new request of a class. Arrivals are a Poisson
// process.
func (sim *simulation) scheduleArrival(class RequestClass) {
	rate := class.Rate * sim.cfg.Pattern.loadFactor(sim.loop.now.Sub(epoch))
	wait := time.Duration(sim.arrivals.ExpFloat64() / rate * float64(time.Second))
	work := class.drawWork(sim.arrivals)
	route := sim.arrivals.Uint64()
	zone := sim.drawZone()
	sim.loop.scheduleAfter(wait, func() {
		if sim.loop.now.Sub(epoch) >= sim.cfg.Pattern.Duration {
			return
		}
		sim.scheduleArrival(class)
		r := &request{class: class, work: work, arrived: sim.loop.now, retries: sim.cfg.Pattern.Callers.Retries, route: route, zone: zone}
		sim.result.recordArrival(r)
		sim.send(r)
	})
}

// drawWork draws the service time of one request.
func (c RequestClass) drawWork(rng *rand.Rand) time.Duration {
	factor := max(1+c.Deviation*rng.NormFloat64(), minWork)
	return time.Duration(float64(c.Work) * factor)
}

// minWork is the minimum service time of a request relative to the mean of its class.
const minWork = 0.2

// request is a request of a caller, with all its retries.
type request struct {
	class   RequestClass
	work    time.Duration
	arrived time.Time
	// retries is the number of retries left.
	retries int
	// route is a random number that determines the gateway of each call.
	route uint64
	// zone is the zone of the caller, whose gateways get its calls; empty if all get them.
	zone string
}

// send sends a request to a random gateway, as a new call.
func (sim *simulation) send(r *request) {
	gateways := sim.gatewaysOf(r.zone)
	g := gateways[r.route%uint64(len(gateways))]
	r.route /= uint64(len(gateways))
	g.serve(r)
}

// handleResponse records the end of a request, or schedules a retry.
func (sim *simulation) handleResponse(r *request, resp response) {
	if resp.end == Served || r.retries == 0 {
		sim.result.recordEnd(r, resp.end, sim.loop.now)
		return
	}
	r.retries--
	sim.loop.scheduleAfter(resp.retryAfter, func() { sim.send(r) })
}
