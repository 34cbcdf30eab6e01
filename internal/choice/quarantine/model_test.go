package quarantine_test

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/quarantine"
	"mustardsaddle.example/mustardsaddle/internal/choice/share"
)

const (
	modelHeartbeat = 400 * time.Millisecond
	// modelRestart is the time after which a server that has ended starts again.
	modelRestart = 3 * time.Second
	// modelWait is how long a call waits for another run of its request, and modelPoll the
	// interval at which it looks.
	modelWait = 250 * time.Millisecond
	modelPoll = 10 * time.Millisecond
	// modelAttempts is the maximum number of attempts of one call.
	modelAttempts = 2
)

// modelConfig configures a fleet without network.
type modelConfig struct {
	gateways, servers int
	// loss is the share of lost messages.
	loss float64
	// restarts is the number of gateways that lose what they know, at random times.
	restarts int
	// The remaining fields break a rule each.
	withoutQuarantine, withoutMessages, withoutIsolation, withoutCompletions bool
}

// model is a fleet without network: gateways that exchange suspicions over lossy links, and
// servers that end under some requests, or without cause.
type model struct {
	cfg      modelConfig
	rng      *rand.Rand
	now      time.Time
	events   eventQueue
	gateways []*modelGateway
	servers  []*modelServer
	fleet    []mustardsaddle.VM
	// reached holds when each request reached servers, and ended the instances that ended
	// under a request that ends servers.
	reached map[mustardsaddle.RequestDigest][]time.Time
	ended   map[mustardsaddle.RequestDigest][]time.Time
	// calls and refused count the calls by request, and fatal holds the requests that end
	// servers.
	calls, refused map[mustardsaddle.RequestDigest]int
	fatal          map[mustardsaddle.RequestDigest]bool
}

type modelGateway struct {
	table *quarantine.Table
	busy  map[mustardsaddle.RequestDigest]bool
	links []int
}

type modelServer struct {
	instance mustardsaddle.Instance
	up       bool
	running  map[int]*modelRun
}

// modelRun is an attempt at a server.
type modelRun struct {
	gateway  int
	digest   mustardsaddle.RequestDigest
	attempts int
	isolated bool
	done     bool
}

// modelDigest returns the digest of the nth request.
func modelDigest(n int) mustardsaddle.RequestDigest {
	var d mustardsaddle.RequestDigest
	binary.BigEndian.PutUint64(d[:], uint64(n))
	return d
}

func newModel(cfg modelConfig, seed uint64) *model {
	m := &model{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		reached: make(map[mustardsaddle.RequestDigest][]time.Time), ended: make(map[mustardsaddle.RequestDigest][]time.Time),
		calls: make(map[mustardsaddle.RequestDigest]int), refused: make(map[mustardsaddle.RequestDigest]int),
		fatal: make(map[mustardsaddle.RequestDigest]bool),
	}
	table := quarantine.Config{}
	if cfg.withoutQuarantine {
		table.Crashes = -1
	}
	far := int(math.Sqrt(float64(cfg.gateways)))
	for i := range cfg.gateways {
		g := &modelGateway{table: quarantine.New(table), busy: make(map[mustardsaddle.RequestDigest]bool)}
		for _, d := range []int{1, far, -1, -far} {
			g.links = append(g.links, (i+d+cfg.gateways)%cfg.gateways)
		}
		m.gateways = append(m.gateways, g)
		m.fleet = append(m.fleet, mustardsaddle.VM{Name: fmt.Sprintf("gateway-%03d", i)})
		m.after(m.between(0, modelHeartbeat), func() { m.heartbeat(i) })
	}
	for i := range cfg.servers {
		m.servers = append(m.servers, &modelServer{
			instance: mustardsaddle.Instance{Name: fmt.Sprintf("booking-%03d", i), Incarnation: 1}, up: true, running: make(map[int]*modelRun),
		})
	}
	return m
}

// between returns a random duration.
func (m *model) between(least, most time.Duration) time.Duration {
	return least + time.Duration(m.rng.Int64N(int64(most-least)+1))
}

// call sends a call to a gateway.
func (m *model) call(gateway int, digest mustardsaddle.RequestDigest) {
	m.calls[digest]++
	m.try(&modelRun{gateway: gateway, digest: digest})
}

// try sends a call's next attempt, as package gateway does.
func (m *model) try(r *modelRun) {
	g := m.gateways[r.gateway]
	d := g.table.Decide(m.now, r.digest)
	if m.cfg.withoutIsolation && d.State == quarantine.Suspect {
		d.State = quarantine.Free
	}
	switch d.State {
	case quarantine.Free:
		m.run(r)
	case quarantine.Quarantined:
		m.refused[r.digest]++
	default:
		r.gateway = m.sender(r.digest)
		m.after(2*time.Millisecond, func() { m.runAlone(r, modelWait) })
	}
}

// sender returns the gateway that sends a suspect request.
func (m *model) sender(digest mustardsaddle.RequestDigest) int {
	name := share.First(digest.String(), m.fleet, 1)[0]
	for i, vm := range m.fleet {
		if vm.Name == name {
			return i
		}
	}
	panic("the sender is not in the fleet")
}

// runAlone runs a suspect request at its sender, after it has waited for other runs.
func (m *model) runAlone(r *modelRun, wait time.Duration) {
	g := m.gateways[r.gateway]
	d := g.table.Decide(m.now, r.digest)
	switch {
	case d.State == quarantine.Free:
		m.run(r)
		return
	case d.State == quarantine.Quarantined, wait <= 0:
		m.refused[r.digest]++
		return
	case g.busy[r.digest]:
		m.after(modelPoll, func() { m.runAlone(r, wait-modelPoll) })
		return
	case d.State == quarantine.Due:
		next, _ := g.table.RecordRetest(m.now, r.digest)
		m.flood(r.gateway, -1, next)
	}
	r.isolated = true
	g.busy[r.digest] = true
	m.run(r)
}

// run starts an attempt at a random server that is up.
func (m *model) run(r *modelRun) {
	r.done = false
	r.attempts++
	var up []*modelServer
	for _, s := range m.servers {
		if s.up {
			up = append(up, s)
		}
	}
	if len(up) == 0 {
		m.finish(r)
		return
	}
	s := up[m.rng.IntN(len(up))]
	id := m.events.next
	s.running[id] = r
	m.reached[r.digest] = append(m.reached[r.digest], m.now)
	m.after(m.between(20*time.Millisecond, 100*time.Millisecond), func() {
		if r.done || s.running[id] != r {
			return
		}
		if m.fatal[r.digest] {
			m.ended[r.digest] = append(m.ended[r.digest], m.now)
			m.crash(s)
			return
		}
		delete(s.running, id)
		m.finish(r)
		if !m.cfg.withoutCompletions {
			if next, changed := m.gateways[r.gateway].table.RecordCompleted(m.now, r.digest); changed {
				m.flood(r.gateway, -1, next)
			}
		}
	})
}

// finish ends an attempt.
func (m *model) finish(r *modelRun) {
	r.done = true
	if r.isolated {
		delete(m.gateways[r.gateway].busy, r.digest)
		r.isolated = false
	}
}

// crash ends a server with all of its requests.
func (m *model) crash(s *modelServer) {
	if !s.up {
		return
	}
	s.up = false
	instance, lost := s.instance, s.running
	s.running = make(map[int]*modelRun)
	m.after(modelRestart, func() { s.up, s.instance.Incarnation = true, s.instance.Incarnation+1 })
	for _, id := range sortedKeys(lost) {
		r := lost[id]
		m.after(m.between(0, 10*time.Millisecond), func() { m.lose(r, instance) })
	}
}

// lose records that an attempt was lost with its server, and sends the call again.
func (m *model) lose(r *modelRun, instance mustardsaddle.Instance) {
	next, changed := m.gateways[r.gateway].table.RecordCrash(m.now, quarantine.Crash{Digest: r.digest, Service: "Booking", Instance: instance})
	if changed {
		m.flood(r.gateway, -1, next)
	}
	m.finish(r)
	if r.attempts < modelAttempts {
		m.try(r)
	}
}

// flood sends a suspicion to the neighbors of a gateway, except to the one it came from.
func (m *model) flood(gateway, from int, s mustardsaddle.RequestSuspicion) {
	for _, to := range m.gateways[gateway].links {
		if to != from {
			m.send(gateway, to, s)
		}
	}
}

// send sends a suspicion over a lossy link.
func (m *model) send(from, to int, s mustardsaddle.RequestSuspicion) {
	if m.cfg.withoutMessages || m.rng.Float64() < m.cfg.loss {
		return
	}
	m.after(m.between(500*time.Microsecond, 5*time.Millisecond), func() {
		for _, next := range m.gateways[to].table.Merge(m.now, []mustardsaddle.RequestSuspicion{s}) {
			m.flood(to, from, next)
		}
	})
}

// heartbeat compares digests with the neighbors.
func (m *model) heartbeat(gateway int) {
	g := m.gateways[gateway]
	for _, to := range g.links {
		if g.table.Digest(m.now) == m.gateways[to].table.Digest(m.now) {
			continue
		}
		for _, s := range g.table.Suspicions(m.now) {
			m.send(gateway, to, s)
		}
		for _, s := range m.gateways[to].table.Suspicions(m.now) {
			m.send(to, gateway, s)
		}
	}
	m.after(modelHeartbeat, func() { m.heartbeat(gateway) })
}

// restart makes a gateway forget everything; its neighbors tell it what they know.
func (m *model) restart(gateway int) {
	m.gateways[gateway].table = quarantine.New(quarantine.Config{})
	m.gateways[gateway].busy = make(map[mustardsaddle.RequestDigest]bool)
	for _, from := range m.gateways[gateway].links {
		for _, s := range m.gateways[from].table.Suspicions(m.now) {
			m.send(from, gateway, s)
		}
	}
}

// late returns how often a request reached servers later than notice after it had ended its
// third one.
func (m *model) late(digest mustardsaddle.RequestDigest, notice time.Duration) int {
	ended := m.ended[digest]
	if len(ended) < 3 {
		return 0
	}
	n := 0
	for _, at := range m.reached[digest] {
		if at.After(ended[2].Add(notice)) {
			n++
		}
	}
	return n
}

// runUntil processes the events until d has passed.
func (m *model) runUntil(d time.Duration) {
	end := m.now.Add(d)
	for len(m.events.items) > 0 && !m.events.items[0].at.After(end) {
		e, _ := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.do()
	}
	m.now = end
}

// after schedules an event.
func (m *model) after(d time.Duration, do func()) {
	m.events.next++
	heap.Push(&m.events, modelEvent{at: m.now.Add(d), seq: m.events.next, do: do})
}

// modelEvent is something that happens at a time.
type modelEvent struct {
	at  time.Time
	seq int
	do  func()
}

// eventQueue orders events by time.
type eventQueue struct {
	items []modelEvent
	next  int
}

var _ heap.Interface = (*eventQueue)(nil)

func (q *eventQueue) Len() int { return len(q.items) }

func (q *eventQueue) Less(i, j int) bool {
	if !q.items[i].at.Equal(q.items[j].at) {
		return q.items[i].at.Before(q.items[j].at)
	}
	return q.items[i].seq < q.items[j].seq
}

func (q *eventQueue) Swap(i, j int) { q.items[i], q.items[j] = q.items[j], q.items[i] }

func (q *eventQueue) Push(x any) {
	if e, ok := x.(modelEvent); ok {
		q.items = append(q.items, e)
	}
}

func (q *eventQueue) Pop() any {
	last := q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	return last
}
