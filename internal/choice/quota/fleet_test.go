package quota_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/quota"
	"mustardsaddle.example/mustardsaddle/internal/choice/statement"
)

const (
	// step is the resolution of the model's time.
	step = 10 * time.Millisecond
	// usualCallsPerSecond is the usual value of fleet.callsPerSecond.
	usualCallsPerSecond = 2.0
	// maxWork is the longest time of a request in the server, and maxDelay that of a
	// message between gateways.
	maxWork  = 300 * time.Millisecond
	maxDelay = 200 * time.Millisecond
	// lostShare is the share of messages and of responses that are lost.
	lostShare = 0.1
	// syncInterval is the interval at which two random gateways exchange all they know.
	syncInterval = 50 * time.Millisecond
	// maxViewDelay is the longest time until a gateway learns that another has left or
	// started.
	maxViewDelay = 1500 * time.Millisecond

	serverName = "booking-01"
	service    = "Booking"
)

var epoch = time.Unix(1000, 0)

// divider is a way of dividing a limit among the gateways. Quotas is one.
type divider interface {
	SetFleet(now time.Time, self string, gateways []mustardsaddle.VM)
	Set(now time.Time, server string, stated mustardsaddle.Statement)
	Take(now time.Time, server string) bool
}

var _ divider = (*quota.Quotas)(nil)

// fleet models gateways that share one server and exchange its statements.
type fleet struct {
	rng        *rand.Rand
	newDivider func() divider
	gateways   []*gateway
	now        time.Time
	// pending holds the events of each future step.
	pending map[int64][]func()
	// stated is what the server states now, and history all that it has stated.
	stated   mustardsaddle.Statement
	history  []change
	arrivals []arrival
	// period counts the times at which the server began to limit its requests.
	period int
	// callsPerSecond is the rate at which each gateway wants to send to the server.
	callsPerSecond float64
}

// gateway is the state of one gateway.
type gateway struct {
	vm    mustardsaddle.VM
	table *statement.Table
	quota divider
	// view lists the gateways that this one knows.
	view map[string]mustardsaddle.VM
	// toldAt is when it first forwarded a response with a limit in the period told.
	toldAt time.Time
	told   int
}

// change is a statement of the server that begins at a time.
type change struct {
	at     time.Time
	period int
	stated mustardsaddle.Statement
}

// arrival is a request that reached the server.
type arrival struct {
	at time.Time
	// told is the period in which the gateway had forwarded a response with a limit early
	// enough; 0 if it had not.
	told int
}

func newFleet(n int, seed uint64, newDivider func() divider) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), newDivider: newDivider, now: epoch, pending: make(map[int64][]func()), callsPerSecond: usualCallsPerSecond}
	all := make(map[string]mustardsaddle.VM, n)
	for i := range n {
		vm := mustardsaddle.VM{Name: fmt.Sprintf("gateway-%03d", i+1)}
		all[vm.Name] = vm
		f.gateways = append(f.gateways, &gateway{vm: vm})
	}
	for _, g := range f.gateways {
		f.start(g, all)
	}
	return f
}

// start resets the state of a gateway. It knows the gateways of the view from its start.
func (f *fleet) start(g *gateway, view map[string]mustardsaddle.VM) {
	g.table, g.quota, g.told = statement.NewTable(), f.newDivider(), 0
	g.table.SetServers(f.now, service, []mustardsaddle.Server{f.server()})
	g.view = make(map[string]mustardsaddle.VM, len(view))
	for name, vm := range view {
		g.view[name] = vm
	}
	f.updateFleet(g)
}

func (f *fleet) server() mustardsaddle.Server {
	return mustardsaddle.Server{Name: serverName, Incarnation: 1, Service: service}
}

func (f *fleet) updateFleet(g *gateway) {
	vms := make([]mustardsaddle.VM, 0, len(g.view))
	for _, vm := range g.view {
		vms = append(vms, vm)
	}
	g.quota.SetFleet(f.now, g.vm.Name, vms)
}

// after schedules an event after a random delay of at most limit.
func (f *fleet) after(limit time.Duration, event func()) {
	at := f.now.Add(time.Duration(f.rng.Int64N(int64(limit)))).Sub(epoch)/step + 1
	f.pending[int64(at)] = append(f.pending[int64(at)], event)
}

// run advances the time by d.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		number := int64(f.now.Sub(epoch) / step)
		for _, event := range f.pending[number] {
			event()
		}
		delete(f.pending, number)
		for _, g := range f.gateways {
			if f.callsPerSecond > 0 && f.rng.Float64() < f.callsPerSecond*step.Seconds() {
				f.call(g)
			}
		}
		if f.now.Sub(epoch)%syncInterval == 0 {
			f.sync(f.gateways[f.rng.IntN(len(f.gateways))], f.gateways[f.rng.IntN(len(f.gateways))])
		}
	}
}

// call sends a request from a gateway to the server if the quota allows it.
func (f *fleet) call(g *gateway) {
	if !g.quota.Take(f.now, serverName) {
		return
	}
	sentAt, table := f.now, g.table
	a := arrival{at: f.now}
	if f.now.Sub(g.toldAt) >= notice {
		a.told = g.told
	}
	f.arrivals = append(f.arrivals, a)
	if f.rng.Float64() < lostShare {
		return
	}
	f.after(maxWork, func() {
		if g.table != table {
			return // the gateway has been restarted
		}
		if f.stated.Limited && g.told != f.period {
			g.told, g.toldAt = f.period, f.now
		}
		next, changed := g.table.Observe(f.now, statement.Evidence{Server: f.server(), Stated: f.stated, SentAt: sentAt})
		if changed {
			f.applyTable(g)
			f.broadcast(next)
		}
	})
}

// broadcast sends a statement to all gateways; some do not get it.
func (f *fleet) broadcast(s mustardsaddle.ServerStatement) {
	for _, g := range f.gateways {
		if f.rng.Float64() >= lostShare {
			f.after(maxDelay, func() { f.merge(g, []mustardsaddle.ServerStatement{s}) })
		}
	}
}

// sync exchanges all statements of two gateways if their digests differ.
func (f *fleet) sync(a, b *gateway) {
	if a.table.Digest() == b.table.Digest() {
		return
	}
	fromA, fromB := a.table.Statements(), b.table.Statements()
	f.merge(a, fromB)
	f.merge(b, fromA)
}

func (f *fleet) merge(g *gateway, statements []mustardsaddle.ServerStatement) {
	if len(g.table.Merge(f.now, statements)) > 0 {
		f.applyTable(g)
	}
}

// applyTable passes the newest statement of the server to the quota.
func (f *fleet) applyTable(g *gateway) {
	stated, _ := g.table.Statement(f.now, f.server())
	g.quota.Set(f.now, serverName, stated)
}

// state changes what the server states.
func (f *fleet) state(s mustardsaddle.Statement) {
	if s.Limited && !f.stated.Limited {
		f.period++
	}
	f.stated = s
	f.history = append(f.history, change{at: f.now, period: f.period, stated: s})
}

// restart restarts a random gateway. The others learn of its stop and of its start later,
// each after another delay; it learns of the others after a delay, too.
func (f *fleet) restart() {
	restarted := f.gateways[f.rng.IntN(len(f.gateways))]
	view := restarted.view
	f.start(restarted, map[string]mustardsaddle.VM{restarted.vm.Name: restarted.vm})
	f.after(maxViewDelay, func() {
		restarted.view = view
		f.updateFleet(restarted)
	})
	for _, g := range f.gateways {
		if g == restarted {
			continue
		}
		f.after(maxViewDelay, func() {
			delete(g.view, restarted.vm.Name)
			f.updateFleet(g)
			f.after(maxViewDelay, func() {
				g.view[restarted.vm.Name] = restarted.vm
				f.updateFleet(g)
			})
		})
	}
}
