package link

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/coder/websocket"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
)

// manager is the event loop of Links.Run. Its own fields belong to the goroutine of
// that loop.
type manager struct {
	*Links
	rng *rand.Rand
	// neighbors holds the peers to which links are kept, by the name, or else the
	// address, that SetNeighbors was given.
	neighbors map[string]neighbor
	// unwantedSince holds, by peer name, when a link that this gateway dialed was
	// first found to lead to a peer that is not a neighbor.
	unwantedSince map[string]time.Time
	// goroutines counts the goroutines that have not yet reported their result on
	// handshakes or linkEnds.
	goroutines int
	handshakes chan handshakeResult
	linkEnds   chan linkEnd
}

// handshakeResult is the outcome of an attempt to establish a link.
type handshakeResult struct {
	// key is the key of the neighbor that was dialed; empty if the peer dialed.
	key  string
	link *link
	err  error
	// done, if set, is to be closed when the connection has ended.
	done chan struct{}
}

// linkEnd reports that a link has ended.
type linkEnd struct {
	link *link
	err  error
	done chan struct{}
}

// run handles events until the context ends.
func (m *manager) run(ctx context.Context) error {
	ticker := time.NewTicker(m.timing.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			m.awaitGoroutines()
			return nil
		case vms := <-m.neighborUpdates:
			m.replaceNeighbors(time.Now(), vms)
			m.tick(ctx, time.Now())
		case a := <-m.acceptedConns:
			m.spawn(func() { m.handshakes <- m.accept(ctx, a) })
		case r := <-m.handshakes:
			m.goroutines--
			m.handleHandshake(ctx, time.Now(), r)
		case e := <-m.linkEnds:
			m.goroutines--
			m.handleLinkEnd(time.Now(), e)
		case now := <-ticker.C:
			m.tick(ctx, now)
		}
	}
}

// spawn runs f in a goroutine. Before f returns, it must send its result on
// handshakes or linkEnds.
func (m *manager) spawn(f func()) {
	m.goroutines++
	go f()
}

// awaitGoroutines waits for the goroutines after the context has ended, and closes
// the connections whose handshake has completed meanwhile.
func (m *manager) awaitGoroutines() {
	for m.goroutines > 0 {
		select {
		case r := <-m.handshakes:
			if r.link != nil {
				_ = r.link.conn.CloseNow()
			}
			closeDone(r.done)
		case e := <-m.linkEnds:
			m.removeLink(e.link)
			closeDone(e.done)
		}
		m.goroutines--
	}
}

func closeDone(done chan struct{}) {
	if done != nil {
		close(done)
	}
}

// replaceNeighbors replaces the neighbors. It keeps the state of those that are in
// both lists.
func (m *manager) replaceNeighbors(now time.Time, vms []mustardsaddle.VM) {
	next := make(map[string]neighbor, len(vms))
	for _, vm := range vms {
		key := vm.Name
		if key == "" {
			key = vm.Peer
		}
		n, known := m.neighbors[key]
		if !known {
			n = newNeighbor(now, m.timing, m.cfg.Self.Name, key, vm.Peer)
		}
		n.address = vm.Peer
		if !n.linked && m.linkTo(n.name) != nil {
			n = n.withLink(now)
		}
		next[key] = n
	}
	m.neighbors = next
}

func (m *manager) linkTo(name string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[name]
}

// tick dials the neighbors that are due, reports lost neighbors, and closes
// unwanted links.
func (m *manager) tick(ctx context.Context, now time.Time) {
	for key, n := range m.neighbors {
		if n.due(now) {
			n = n.withDialing()
			m.counts.dials.Add(1)
			address := n.address
			m.spawn(func() { m.handshakes <- m.dial(ctx, key, address) })
		}
		if n.isLost(now, m.timing) {
			n.lossReported = true
			if m.cfg.OnNeighborLost != nil {
				m.cfg.OnNeighborLost(now, n.name)
			}
		}
		m.neighbors[key] = n
	}
	m.closeUnwanted(now)
}

// closeUnwanted closes the links that this gateway dialed to peers that have not
// been neighbors for unwantedLinkSilences times Timing.SilenceTimeout. A link that
// the peer dialed stays up, since this gateway may still be a neighbor of the peer.
func (m *manager) closeUnwanted(now time.Time) {
	wanted := make(map[string]bool, len(m.neighbors))
	for _, n := range m.neighbors {
		wanted[n.name] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, lk := range m.links {
		if wanted[name] || lk.id.dialer != m.cfg.Self.Name {
			delete(m.unwantedSince, name)
			continue
		}
		since, known := m.unwantedSince[name]
		if !known {
			m.unwantedSince[name] = now
			continue
		}
		if now.Sub(since) >= unwantedLinkSilences*m.timing.SilenceTimeout {
			_ = lk.conn.CloseNow()
		}
	}
}

// dial opens a connection to a neighbor and performs the handshake.
func (m *manager) dial(ctx context.Context, key, address string) handshakeResult {
	dialCtx, cancel := context.WithTimeout(ctx, m.timing.SilenceTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(dialCtx, "ws://"+address+Path, &websocket.DialOptions{HTTPClient: m.client}) //nolint:bodyclose // Dial closes the body.
	if err != nil {
		return handshakeResult{key: key, err: code.Wrapf(code.PeerUnavailable, err, "dial peer %s at %s", key, address)}
	}
	lk, err := m.handshake(ctx, conn, true)
	if err != nil {
		_ = conn.CloseNow()
	}
	return handshakeResult{key: key, link: lk, err: err}
}

// accept performs the handshake on a connection that a peer opened.
func (m *manager) accept(ctx context.Context, a acceptedConn) handshakeResult {
	lk, err := m.handshake(ctx, a.conn, false)
	return handshakeResult{link: lk, err: err, done: a.done}
}

// handleHandshake puts a new link into use. If there is a link to the same peer
// already, linkID.replaces decides which of the two is closed.
func (m *manager) handleHandshake(ctx context.Context, now time.Time, r handshakeResult) {
	if r.err != nil {
		event.Warn(m.cfg.Logger, event.LinkFailed).Str("Peer", r.key).Int("Code", int(code.Of(r.err))).Err(r.err).Send()
		m.updateNeighbor(r.key, func(n neighbor) neighbor { return n.withFailure(now, m.timing, m.rng) })
		closeDone(r.done)
		return
	}
	name := r.link.vm().Name
	m.updateNeighbor(r.key, func(n neighbor) neighbor {
		n.dialing = false
		n.name = name
		return n
	})
	old := m.linkTo(name)
	if old != nil && !r.link.id.replaces(old.id) {
		_ = r.link.conn.CloseNow()
		m.markLinked(now, name)
		closeDone(r.done)
		return
	}
	if old != nil {
		_ = old.conn.CloseNow()
	}
	m.mu.Lock()
	m.links[name] = r.link
	m.mu.Unlock()
	m.markLinked(now, name)
	event.Info(m.cfg.Logger, event.LinkUp).Str("Peer", name).Str("Dialer", r.link.id.dialer).Send()
	m.spawn(func() { m.linkEnds <- linkEnd{link: r.link, err: r.link.run(ctx), done: r.done} })
}

// updateNeighbor changes the state of a neighbor, if it still is one.
func (m *manager) updateNeighbor(key string, change func(neighbor) neighbor) {
	if n, known := m.neighbors[key]; known {
		m.neighbors[key] = change(n)
	}
}

// markLinked records that a link to a peer is up.
func (m *manager) markLinked(now time.Time, name string) {
	for key, n := range m.neighbors {
		if n.name == name {
			m.neighbors[key] = n.withLink(now)
		}
	}
}

// handleLinkEnd records that a link has ended, unless another one has replaced it.
func (m *manager) handleLinkEnd(now time.Time, e linkEnd) {
	closeDone(e.done)
	if !m.removeLink(e.link) {
		return
	}
	name := e.link.vm().Name
	event.Info(m.cfg.Logger, event.LinkDown).Str("Peer", name).Int("Code", int(code.Of(e.err))).Err(e.err).Send()
	for key, n := range m.neighbors {
		if n.name == name {
			m.neighbors[key] = n.withEnd(now, m.timing, m.rng)
		}
	}
}

// removeLink removes a link from the links in use. It returns false if another link
// has replaced it.
func (m *manager) removeLink(lk *link) bool {
	name := lk.vm().Name
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[name] != lk {
		return false
	}
	delete(m.links, name)
	delete(m.unwantedSince, name)
	return true
}
