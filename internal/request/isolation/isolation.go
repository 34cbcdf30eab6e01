// Package isolation applies package quarantine to the requests of a gateway: it holds what
// the gateway knows about suspect requests, lets one run of each proceed at a time, and
// says which gateway sends them.
//
// All gateways agree, without a message, on the gateway that sends a suspect request: the
// first one in a rendezvous order of the digest. Every other gateway forwards the request
// to it. While the gateways disagree about the fleet, or the first one cannot be reached,
// two of them may send the request at the same time.
//
// # Usage
//
//	i := isolation.New(isolation.Config{Name: "gateway-1", OnSuspicion: flood})
//	i.SetFleet(gateways)
//	if d := i.Decide(now, digest); d.State == quarantine.Suspect {
//		leave, ok := i.Enter(ctx, digest, wait)
//		...
//		leave()
//	}
package isolation

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/choice/quarantine"
	"mustardsaddle.example/mustardsaddle/internal/choice/share"
)

// Sources of what is known about a request, as logged.
const (
	sourceOwn      = "Attempt"
	sourceOperator = "Operator"
)

// maxSenders is the number of gateways that may send a suspect request: the first one of the
// rendezvous order, and the next one if that cannot be reached.
const maxSenders = 2

const (
	// floodsPerSecond is the rate at which suspicions of requests that are not quarantined
	// are passed on to other gateways, and floodBurst how many at once. If very many servers
	// end at once, the others wait for the next comparison with a peer.
	floodsPerSecond = 50
	floodBurst      = 100
)

// Config configures an Isolation.
type Config struct {
	// Quarantine configures the decisions.
	Quarantine quarantine.Config
	// Name is the name of this gateway.
	Name string
	// OnSuspicion, if set, is called with what the other gateways have to know. It must not
	// block.
	OnSuspicion func(s mustardsaddle.RequestSuspicion)
	// Logger receives the log events.
	Logger zerolog.Logger
}

// Isolation decides about suspect requests. It is safe for concurrent use.
type Isolation struct {
	cfg Config
	// active is the number of suspect and quarantined requests. It lets calls skip the lock
	// while there are none.
	active atomic.Int64

	mu    sync.Mutex
	table *quarantine.Table
	// gates holds the gate of each request that is being sent alone.
	gates map[mustardsaddle.RequestDigest]*gate
	// fleet lists the gateways that are not leaving.
	fleet []mustardsaddle.VM
	// floods limits the suspicions that are passed on.
	floods *rate.Limiter
}

// gate lets one run of a request proceed at a time.
type gate struct {
	free chan struct{}
	// users is the number of runs that proceed or wait.
	users int
}

// New returns an Isolation that knows no suspect request.
func New(cfg Config) *Isolation {
	return &Isolation{
		cfg: cfg, table: quarantine.New(cfg.Quarantine), gates: make(map[mustardsaddle.RequestDigest]*gate),
		floods: rate.NewLimiter(floodsPerSecond, floodBurst),
	}
}

// SetFleet replaces the gateways of the fleet.
func (i *Isolation) SetFleet(gateways []mustardsaddle.VM) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.fleet = slices.DeleteFunc(slices.Clone(gateways), func(v mustardsaddle.VM) bool { return v.Leaving })
}

// Senders returns the names of the gateways that may send a suspect request, in the order in
// which they are to be tried. Without a fleet that is this gateway alone.
func (i *Isolation) Senders(digest mustardsaddle.RequestDigest) []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.fleet) == 0 {
		return []string{i.cfg.Name}
	}
	return share.First(digest.String(), i.fleet, maxSenders)
}

// Active reports whether any request is suspect or quarantined.
func (i *Isolation) Active() bool { return i.active.Load() > 0 }

// Decide returns what may be done with a request.
func (i *Isolation) Decide(now time.Time, digest mustardsaddle.RequestDigest) quarantine.Decision {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.table.Decide(now, digest)
}

// Concerns reports whether the body of a request decides if it is suspect.
func (i *Isolation) Concerns(head uint64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.table.Concerns(head)
}

// Enter waits until no other run of a request proceeds in this gateway. If it returns true,
// leave must be called when the run has ended.
func (i *Isolation) Enter(ctx context.Context, digest mustardsaddle.RequestDigest, wait time.Duration) (leave func(), ok bool) {
	g := i.join(digest)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-g.free:
		return sync.OnceFunc(func() {
			g.free <- struct{}{}
			i.part(digest, g)
		}), true
	case <-timer.C:
	case <-ctx.Done():
	}
	i.part(digest, g)
	return nil, false
}

// join returns the gate of a request for one more user.
func (i *Isolation) join(digest mustardsaddle.RequestDigest) *gate {
	i.mu.Lock()
	defer i.mu.Unlock()
	g := i.gates[digest]
	if g == nil {
		g = &gate{free: make(chan struct{}, 1)}
		g.free <- struct{}{}
		i.gates[digest] = g
	}
	g.users++
	return g
}

// part removes a user of a gate.
func (i *Isolation) part(digest mustardsaddle.RequestDigest, g *gate) {
	i.mu.Lock()
	defer i.mu.Unlock()
	g.users--
	if g.users == 0 {
		delete(i.gates, digest)
	}
}

// RecordCrash records that an instance has ended while it had a request of this gateway.
func (i *Isolation) RecordCrash(now time.Time, c quarantine.Crash) {
	i.apply(now, c.Digest, sourceOwn, func() (mustardsaddle.RequestSuspicion, bool) { return i.table.RecordCrash(now, c) })
}

// RecordCompleted records a complete response to a request.
func (i *Isolation) RecordCompleted(now time.Time, digest mustardsaddle.RequestDigest) {
	i.apply(now, digest, sourceOwn, func() (mustardsaddle.RequestSuspicion, bool) { return i.table.RecordCompleted(now, digest) })
}

// BeginRetest records that a quarantined request is about to be sent again. It returns false
// if it is not due.
func (i *Isolation) BeginRetest(now time.Time, digest mustardsaddle.RequestDigest) bool {
	return i.apply(now, digest, sourceOwn, func() (mustardsaddle.RequestSuspicion, bool) { return i.table.RecordRetest(now, digest) })
}

// Release clears a request on behalf of an operator. It returns false if the request was
// neither suspect nor quarantined.
func (i *Isolation) Release(now time.Time, digest mustardsaddle.RequestDigest) bool {
	return i.apply(now, digest, sourceOperator, func() (mustardsaddle.RequestSuspicion, bool) { return i.table.Release(now, digest) })
}

// apply changes the table, logs the change and passes it on to the other gateways.
func (i *Isolation) apply(now time.Time, digest mustardsaddle.RequestDigest, source string, change func() (mustardsaddle.RequestSuspicion, bool)) bool {
	i.mu.Lock()
	before := i.table.Decide(now, digest)
	next, changed := change()
	after := i.table.Decide(now, digest)
	i.count()
	i.mu.Unlock()
	if !changed {
		return false
	}
	i.log(next, before, after, source)
	if i.cfg.OnSuspicion != nil && i.passOn(now, after) {
		i.cfg.OnSuspicion(next)
	}
	return true
}

// passOn reports whether other gateways are told of a change at once.
func (i *Isolation) passOn(now time.Time, after quarantine.Decision) bool {
	return after.State != quarantine.Suspect || i.floods.AllowN(now, 1)
}

// count updates active. The caller holds mu.
func (i *Isolation) count() {
	n := i.table.Counts()
	i.active.Store(int64(n.Suspect + n.Quarantined))
}

// Merge records what another gateway knows. It returns what was new and has yet to be sent
// to the other gateways.
func (i *Isolation) Merge(now time.Time, from string, received []mustardsaddle.RequestSuspicion) []mustardsaddle.RequestSuspicion {
	var added []mustardsaddle.RequestSuspicion
	for _, s := range received {
		i.mu.Lock()
		before := i.table.Decide(now, s.Digest)
		merged := i.table.Merge(now, []mustardsaddle.RequestSuspicion{s})
		after := i.table.Decide(now, s.Digest)
		i.count()
		i.mu.Unlock()
		for _, next := range merged {
			i.log(next, before, after, from)
			if i.passOn(now, after) {
				added = append(added, next)
			}
		}
	}
	return added
}

// log logs how a request has changed. Before and after are the decisions about it.
func (i *Isolation) log(s mustardsaddle.RequestSuspicion, before, after quarantine.Decision, source string) {
	var line *zerolog.Event
	switch {
	case after.State == quarantine.Free && before.State == quarantine.Free:
		return
	case after.State == quarantine.Free:
		line = event.Info(i.cfg.Logger, event.RequestCleared)
	case after.State == quarantine.Suspect:
		line = event.Warn(i.cfg.Logger, event.RequestSuspected)
	case before.State == quarantine.Due:
		line = event.Info(i.cfg.Logger, event.RequestRetested)
	default:
		line = event.Warn(i.cfg.Logger, event.RequestQuarantined)
	}
	servers := make([]string, len(s.Crashes))
	for n, c := range s.Crashes {
		servers[n] = c.Name
	}
	line.Stringer("Digest", s.Digest).Str("Service", s.Service).Int64("Epoch", s.Epoch).Strs("Servers", servers).Int("Retests", s.Retests).
		Dur("Age", s.Age).Dur("Wait", after.Wait).Str("Source", source).Send()
}

// Suspicions returns what is known about all requests.
func (i *Isolation) Suspicions(now time.Time) []mustardsaddle.RequestSuspicion {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.table.Suspicions(now)
}

// Items returns the suspect and quarantined requests.
func (i *Isolation) Items(now time.Time) []quarantine.Item {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.table.Items(now)
}

// Digest returns a digest that is equal for gateways that know the same suspect and
// quarantined requests.
func (i *Isolation) Digest(now time.Time) uint64 {
	if !i.Active() {
		return 0
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.table.Digest(now)
}

// Counts returns the numbers of suspect and of quarantined requests.
func (i *Isolation) Counts() quarantine.Counts {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.table.Counts()
}
