package catalog_test

import (
	"context"
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/control/catalog"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/standin/directory"
)

// modelGuard is the RestoreGuard in the model, in steps of modelStep.
const (
	modelStep  = 100 * time.Millisecond
	modelGuard = 60 * modelStep
	// modelRewriteLimit is the time, in steps, in which the model writes again what a
	// restore has lost.
	modelRewriteLimit = 20
	// modelStale is the age from which a gateway reads the directory, and modelDelay the
	// largest delay of a message.
	modelStale = 14 * modelStep
	modelDelay = 15 * modelStep
	// maxModelSteps is the largest number of actions of one run of the model.
	maxModelSteps = 150
)

// collections are the collections of the model.
var collections = []mustardsaddle.Collection{mustardsaddle.RulesCollection, mustardsaddle.ServersCollection}

// modelGateway is one gateway of the model.
type modelGateway struct {
	*catalog.Catalog
	// generation is the generation in force.
	generation int64
	// known holds the servers in use, by name and incarnation, and ended those that had
	// left when the gateway stopped to use them.
	known, ended map[string]bool
}

// modelMessage is a message that was sent and not delivered yet.
type modelMessage struct {
	sentAt  time.Time
	deliver func()
}

// restoreModel is a directory with gateways that exchange messages in any order. Messages
// may be lost or delivered twice.
type restoreModel struct {
	t         *rapid.T
	now       time.Time
	directory *directory.Directory
	copies    []directory.Copy
	gateways  []*modelGateway
	messages  []modelMessage
	servers   map[string]mustardsaddle.Machine
	// started counts the starts of servers, and gives each its incarnation.
	started int64
	rules   int64
	// rewriteAt is when lost writes are repeated; zero if none are lost.
	rewriteAt time.Time
}

func newRestoreModel(t *rapid.T, gateways int) *restoreModel {
	m := &restoreModel{
		t: t, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), directory: directory.New(), servers: make(map[string]mustardsaddle.Machine),
	}
	for i := range gateways {
		g := &modelGateway{known: make(map[string]bool), ended: make(map[string]bool)}
		g.Catalog = catalog.New(catalog.Config{
			InForce: func(table *rule.Table) {
				if table.File.Generation <= g.generation {
					t.Fatalf("gateway %d: rules fell back from generation %d to %d", i, g.generation, table.File.Generation)
				}
				g.generation = table.File.Generation
			},
			Servers: func(time.Time, string, []mustardsaddle.Server) {},
			Forward: func(from string, c mustardsaddle.Collection, u mustardsaddle.Update) { m.forward(i, from, c, u) },
			Core:    catalog.CoreConfig{RestoreGuard: modelGuard},
		})
		m.gateways = append(m.gateways, g)
	}
	return m
}

func (m *restoreModel) queue(deliver func()) {
	m.messages = append(m.messages, modelMessage{sentAt: m.now, deliver: deliver})
}

// send queues an update for a gateway, which requests a snapshot if it has a gap.
func (m *restoreModel) send(from, to int, c mustardsaddle.Collection, u mustardsaddle.Update) {
	m.queue(func() {
		if m.gateways[to].Receive(m.now, fmt.Sprint(from), c, u) {
			m.sendSnapshot(to, from, c)
		}
	})
}

func (m *restoreModel) sendSnapshot(to, from int, c mustardsaddle.Collection) {
	m.queue(func() {
		if u, known := m.gateways[from].CollectionSnapshot(m.now, c); known {
			m.send(from, to, c, u)
		}
	})
}

func (m *restoreModel) forward(self int, from string, c mustardsaddle.Collection, u mustardsaddle.Update) {
	for to := range m.gateways {
		if to != self && fmt.Sprint(to) != from {
			m.send(self, to, c, u)
		}
	}
}

// heartbeat sends the state of a collection from one gateway to another.
func (m *restoreModel) heartbeat(from, to int, c mustardsaddle.Collection) {
	state := m.gateways[from].Known(m.now, c)
	m.queue(func() {
		if m.gateways[to].ReceiveState(m.now, c, state) {
			m.sendSnapshot(to, from, c)
		}
	})
}

// read lets a gateway read a collection as Catalog.Run does.
func (m *restoreModel) read(i int, c mustardsaddle.Collection) {
	ctx := context.Background()
	g := m.gateways[i]
	known := g.Known(m.now, c)
	newest, _ := g.Eras()
	u, err := m.directory.Changes(ctx, c, known.Position, 0)
	if known.Position.IsZero() || known.Position.Era < newest || code.Of(err) == code.StoreHistoryLost {
		u, err = m.directory.Snapshot(ctx, c, true)
	}
	if err == nil {
		err = g.ReceiveResponse(m.now, m.now, c, u)
	}
	if code.Of(err) == code.StoreHistoryLost {
		u, _ = m.directory.Snapshot(ctx, c, true)
		err = g.ReceiveResponse(m.now, m.now, c, u)
	}
	if err != nil {
		m.t.Fatalf("gateway %d: read %s: %v", i, c, err)
	}
}

// check fails if a gateway uses a server that it knows to be leaving or gone.
func (m *restoreModel) check() {
	alive := make(map[string]bool)
	for _, s := range m.servers {
		alive[fmt.Sprintf("%s/%d", s.Name, s.Incarnation)] = !s.Leaving
	}
	for i, g := range m.gateways {
		serving := make(map[string]bool)
		for _, s := range g.Servers() {
			key := fmt.Sprintf("%s/%d", s.Name, s.Incarnation)
			if s.Leaving {
				continue
			}
			serving[key] = true
			if g.ended[key] {
				m.t.Fatalf("gateway %d: server %s is used again after it left", i, key)
			}
		}
		for key := range g.known {
			g.ended[key] = g.ended[key] || !serving[key] && !alive[key]
		}
		g.known = serving
	}
}

// advance lets time pass: it repeats lost writes when they are due, drops messages that
// are too old, and lets gateways read what is stale.
func (m *restoreModel) advance(steps int) {
	m.now = m.now.Add(time.Duration(steps) * modelStep)
	if !m.rewriteAt.IsZero() && !m.now.Before(m.rewriteAt) {
		m.directory.Rewrite()
		m.rewriteAt = time.Time{}
	}
	m.messages = slices.DeleteFunc(m.messages, func(message modelMessage) bool { return m.now.Sub(message.sentAt) > modelDelay })
	for i, g := range m.gateways {
		for _, c := range collections {
			if state := g.Known(m.now, c); state.Age >= modelStale {
				m.read(i, c)
			}
		}
		g.ExpireEntries(m.now)
	}
}

// changeServer starts, drains, removes or restarts a server.
func (m *restoreModel) changeServer(name string) {
	s, listed := m.servers[name]
	switch {
	case !listed:
		m.started++
		s = mustardsaddle.Machine{Name: name, Service: "Booking", Address: "10.0.0.1:80", Incarnation: m.started}
	case !s.Leaving && rapid.Bool().Draw(m.t, "drain"):
		s.Leaving = true
	case rapid.Bool().Draw(m.t, "restart"):
		m.started++
		s.Incarnation, s.Leaving = m.started, false
	default:
		delete(m.servers, name)
		m.directory.RemoveServer(name)
		return
	}
	m.servers[name] = s
	m.directory.PutServer(s)
}

// deliver delivers one queued message, which may stay queued or be dropped.
func (m *restoreModel) deliver() {
	if len(m.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.messages)-1).Draw(m.t, "message")
	message := m.messages[i]
	fate := rapid.IntRange(0, 9).Draw(m.t, "fate")
	if fate != 0 {
		m.messages = append(m.messages[:i], m.messages[i+1:]...)
	}
	if fate != 1 {
		message.deliver()
	}
}

// settle delivers everything until no gateway lacks anything.
func (m *restoreModel) settle() {
	for range 4 {
		m.advance(int(modelGuard/modelStep) + modelRewriteLimit)
		for i := range m.gateways {
			for _, c := range collections {
				m.read(i, c)
				for to := range m.gateways {
					m.heartbeat(i, to, c)
				}
			}
		}
		for len(m.messages) > 0 {
			message := m.messages[0]
			m.messages = m.messages[1:]
			message.deliver()
		}
	}
}
