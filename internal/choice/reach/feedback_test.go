package reach_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/reach"
)

const (
	modelTick    = 10 * time.Millisecond
	modelService = "Booking"
	modelServers = 32
	// queryTimeout is the time after which a load query counts as unanswered, and
	// baseLatency how long a reply takes on an idle link.
	queryTimeout = 150 * time.Millisecond
	baseLatency  = 5 * time.Millisecond
	// statementTime is how long a link and the processor of a small VM are busy with one
	// statement of one peer, and callTime how long they are with the calls of a tick.
	statementTime = 350 * time.Microsecond
	callTime      = 4 * time.Millisecond
)

// slowFleet is a model of gateways on small VMs that tell each other which services they
// cannot reach. What a gateway sends and receives delays the replies of its servers.
type slowFleet struct {
	rng      *rand.Rand
	gateways []*slowGateway
	byName   map[string]*slowGateway
}

type slowGateway struct {
	vm        mustardsaddle.VM
	neighbors []string
	detector  *reach.Detector
	table     *reach.Table
	announcer *reach.Announcer
	// busy is the work that is queued on the link and the processor.
	busy time.Duration
	// pending holds the load queries without a reply.
	pending []modelQuery
	// received holds the statements that arrive in the next tick.
	received []mustardsaddle.GatewayReach
	// statements counts those that were sent, one for each peer, and lost the losses.
	statements, lost int
}

type modelQuery struct {
	server  string
	sentAt  time.Time
	replyAt time.Time
}

func newSlowFleet(n int) *slowFleet {
	f := &slowFleet{rng: rand.New(rand.NewPCG(1, uint64(n))), byName: make(map[string]*slowGateway)}
	var vms []mustardsaddle.VM
	for i := range n {
		vms = append(vms, mustardsaddle.VM{Name: fmt.Sprintf("gateway-%03d", i), Incarnation: 1, Zone: fmt.Sprintf("zone-%d", i%3)})
	}
	servers := make([]string, modelServers)
	for i := range servers {
		servers[i] = fmt.Sprintf("booking-%02d", i)
	}
	for i, vm := range vms {
		g := &slowGateway{vm: vm, detector: reach.New(), table: reach.NewTable(), announcer: reach.NewAnnouncer(vm)}
		g.detector.SetServers(servers)
		g.table.SetFleet(vms)
		for _, distance := range []int{1, 2, n / 3, n / 2} {
			g.neighbors = append(g.neighbors, vms[(i+distance)%n].Name, vms[(i-distance+n)%n].Name)
		}
		f.gateways, f.byName[vm.Name] = append(f.gateways, g), g
	}
	return f
}

// step advances the model by one tick, in which each link is busy for extra.
func (f *slowFleet) step(now time.Time, extra time.Duration) {
	for _, g := range f.gateways {
		g.receive(now)
		g.busy = max(g.busy+extra+callTime-modelTick, 0)
		g.query(now, f.rng)
		g.settle(now)
	}
	for _, g := range f.gateways {
		f.send(now, g)
	}
}

// receive merges what the peers have sent.
func (g *slowGateway) receive(now time.Time) {
	g.busy += time.Duration(len(g.received)) * statementTime
	g.table.Merge(now, g.received)
	g.received = nil
}

// query sends a load query to a server, whose reply waits for the work that is queued.
func (g *slowGateway) query(now time.Time, rng *rand.Rand) {
	server := fmt.Sprintf("booking-%02d", rng.IntN(modelServers))
	g.pending = append(g.pending, modelQuery{server: server, sentAt: now, replyAt: now.Add(baseLatency + g.busy)})
}

// settle passes replies and timeouts to the detector.
func (g *slowGateway) settle(now time.Time) {
	kept := g.pending[:0]
	for _, q := range g.pending {
		change := reach.Unchanged
		switch {
		case !q.replyAt.After(now) && q.replyAt.Sub(q.sentAt) <= queryTimeout:
			change = g.detector.Reply(now, q.server)
		case now.Sub(q.sentAt) >= queryTimeout:
			change = g.detector.Fail(now, reach.Failure{Server: q.server, Cause: reach.Unanswered, SentAt: q.sentAt, Timeout: queryTimeout})
		default:
			kept = append(kept, q)
		}
		g.state(change)
	}
	g.pending = kept
}

// state tells the peers about a change.
func (g *slowGateway) state(change reach.Change) {
	var lost []string
	switch change {
	case reach.Unchanged:
		return
	case reach.Lost:
		lost = []string{modelService}
		g.lost++
	case reach.Regained:
	}
	g.announcer.SetLost(lost)
}

// send delivers the statement that is due.
func (f *slowFleet) send(now time.Time, g *slowGateway) {
	statement, due, _ := g.announcer.Next(now)
	if !due {
		return
	}
	g.statements += len(g.neighbors)
	g.busy += time.Duration(len(g.neighbors)) * statementTime
	for _, peer := range g.neighbors {
		f.byName[peer].received = append(f.byName[peer].received, statement)
	}
}

// statements returns the statements sent by all gateways.
func (f *slowFleet) statements() int {
	n := 0
	for _, g := range f.gateways {
		n += g.statements
	}
	return n
}

// TestReachNewsDieOutAfterSlowLinks guards against gateways that take slow links for lost
// servers, and slow their links further by telling each other: a state that outlived its
// cause by 20 s.
func TestReachNewsDieOutAfterSlowLinks(t *testing.T) {
	const (
		slowFrom = 2 * time.Second
		slowTill = 4 * time.Second
		calmFrom = slowTill + 5*time.Second
		end      = calmFrom + 2*time.Second
		// slowWork makes a link fall behind, by about a second at the end.
		slowWork = 11 * time.Millisecond
		// maxStatements is what a gateway may send in a second, to all its links.
		maxStatements = 2 * 8
	)
	for _, n := range []int{13, 101, 311} {
		t.Run(fmt.Sprintf("%d gateways", n), func(t *testing.T) {
			f := newSlowFleet(n)
			start := time.Unix(1_800_000_000, 0)
			before, calm := 0, 0
			for at := time.Duration(0); at < end; at += modelTick {
				extra := time.Duration(0)
				if at >= slowFrom && at < slowTill {
					extra = slowWork
				}
				f.step(start.Add(at), extra)
				if at == slowFrom {
					before = f.statements()
				}
				if at == calmFrom {
					calm = f.statements()
				}
			}
			lost := 0
			for _, g := range f.gateways {
				lost += g.lost
			}
			if lost == 0 {
				t.Error("got no gateway that lost a service, want some: the links are not slow enough for the test")
			}
			if after := f.statements() - calm; after > before {
				t.Errorf("got %d statements sent from %s on, want at most the %d before the links became slow", after, calmFrom, before)
			}
			if mean := float64(f.statements()) / float64(n) / end.Seconds(); mean > maxStatements {
				t.Errorf("got %.0f statements sent a second and gateway, want at most %d", mean, maxStatements)
			}
			t.Logf("%d losses, %d statements sent", lost, f.statements())
		})
	}
}
