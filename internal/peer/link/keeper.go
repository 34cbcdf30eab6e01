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

// keeper is the state of Run, which one goroutine owns.
type keeper struct {
	*Links
	rng *rand.Rand
	// neighbors are the wanted links, by the name or address that was wanted.
	neighbors map[string]neighbor
	// unwanted holds since when a link that this gateway dialled is not wanted.
	unwanted map[string]time.Time
	// running counts the goroutines that have not reported their end.
	running     int
	established chan established
	ended       chan ended
}

// established is the end of a try to make a link.
type established struct {
	// key is the wanted neighbor; empty if the peer dialled.
	key  string
	link *link
	err  error
	// done, if set, is closed when the connection is over.
	done chan struct{}
}

// ended is the end of a link.
type ended struct {
	link *link
	err  error
	done chan struct{}
}

func (k *keeper) run(ctx context.Context) error {
	ticker := time.NewTicker(k.timing.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			k.drain()
			return nil
		case vms := <-k.wanted:
			k.want(time.Now(), vms)
			k.tick(ctx, time.Now())
		case a := <-k.accepted:
			k.start(func() { k.established <- k.accept(ctx, a) })
		case e := <-k.established:
			k.running--
			k.establish(ctx, time.Now(), e)
		case e := <-k.ended:
			k.running--
			k.end(time.Now(), e)
		case now := <-ticker.C:
			k.tick(ctx, now)
		}
	}
}

// start runs f in a goroutine that reports its end on a channel of k.
func (k *keeper) start(f func()) {
	k.running++
	go f()
}

// drain waits for the goroutines, whose context has ended.
func (k *keeper) drain() {
	for k.running > 0 {
		select {
		case e := <-k.established:
			if e.link != nil {
				_ = e.link.conn.CloseNow()
			}
			closeDone(e.done)
		case e := <-k.ended:
			k.remove(e.link)
			closeDone(e.done)
		}
		k.running--
	}
}

func closeDone(done chan struct{}) {
	if done != nil {
		close(done)
	}
}

// want replaces the neighbors, and keeps the state of those that stay.
func (k *keeper) want(now time.Time, vms []mustardsaddle.VM) {
	next := make(map[string]neighbor, len(vms))
	for _, vm := range vms {
		key := vm.Name
		if key == "" {
			key = vm.Peer
		}
		n, known := k.neighbors[key]
		if !known {
			n = newNeighbor(now, k.timing, k.cfg.Self.Name, key, vm.Peer)
		}
		n.address = vm.Peer
		if !n.linked && k.linkTo(n.name) != nil {
			n = n.withLink(now)
		}
		next[key] = n
	}
	k.neighbors = next
}

func (k *keeper) linkTo(name string) *link {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.links[name]
}

// tick dials what is due, reports lost neighbors, and closes unwanted links.
func (k *keeper) tick(ctx context.Context, now time.Time) {
	for key, n := range k.neighbors {
		if n.due(now) {
			n = n.withDialing()
			k.counts.dials.Add(1)
			address := n.address
			k.start(func() { k.established <- k.dial(ctx, key, address) })
		}
		if n.isLost(now, k.timing) {
			n.lost = true
			if k.cfg.Lost != nil {
				k.cfg.Lost(now, n.name)
			}
		}
		k.neighbors[key] = n
	}
	k.closeUnwanted(now)
}

// closeUnwanted closes links that this gateway dialled to peers that have not
// been neighbors for a time. The other end may still want those that it dialled.
func (k *keeper) closeUnwanted(now time.Time) {
	wanted := make(map[string]bool, len(k.neighbors))
	for _, n := range k.neighbors {
		wanted[n.name] = true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, l := range k.links {
		if wanted[name] || l.id.dialer != k.cfg.Self.Name {
			delete(k.unwanted, name)
			continue
		}
		since, known := k.unwanted[name]
		if !known {
			k.unwanted[name] = now
			continue
		}
		if now.Sub(since) >= unwantedSilences*k.timing.Silence {
			_ = l.conn.CloseNow()
		}
	}
}

// dial connects to a neighbor on a new connection.
func (k *keeper) dial(ctx context.Context, key, address string) established {
	dialing, cancel := context.WithTimeout(ctx, k.timing.Silence)
	defer cancel()
	conn, _, err := websocket.Dial(dialing, "ws://"+address+Path, &websocket.DialOptions{HTTPClient: k.client}) //nolint:bodyclose // Dial closes the body.
	if err != nil {
		return established{key: key, err: code.Wrapf(code.PeerUnavailable, err, "dial peer %s at %s", key, address)}
	}
	l, err := k.introduce(ctx, conn, true)
	if err != nil {
		_ = conn.CloseNow()
	}
	return established{key: key, link: l, err: err}
}

// accept introduces this gateway to a peer that dialled.
func (k *keeper) accept(ctx context.Context, a acceptedConn) established {
	l, err := k.introduce(ctx, a.conn, false)
	return established{link: l, err: err, done: a.done}
}

// establish takes a link into use, or drops it for one that is better.
func (k *keeper) establish(ctx context.Context, now time.Time, e established) {
	if e.err != nil {
		event.Warn(k.cfg.Logger, event.LinkFailed).Str("Peer", e.key).Int("Code", int(code.Of(e.err))).Err(e.err).Send()
		k.update(e.key, func(n neighbor) neighbor { return n.withFailure(now, k.timing, k.rng) })
		closeDone(e.done)
		return
	}
	name := e.link.vm().Name
	k.update(e.key, func(n neighbor) neighbor {
		n.dialing = false
		n.name = name
		return n
	})
	old := k.linkTo(name)
	if old != nil && !e.link.id.replaces(old.id) {
		_ = e.link.conn.CloseNow()
		k.mark(now, name)
		closeDone(e.done)
		return
	}
	if old != nil {
		_ = old.conn.CloseNow()
	}
	k.mu.Lock()
	k.links[name] = e.link
	k.mu.Unlock()
	k.mark(now, name)
	event.Info(k.cfg.Logger, event.LinkUp).Str("Peer", name).Str("Dialer", e.link.id.dialer).Send()
	k.start(func() { k.ended <- ended{link: e.link, err: e.link.serve(ctx), done: e.done} })
}

// update changes the state of a wanted neighbor, if it is still wanted.
func (k *keeper) update(key string, change func(neighbor) neighbor) {
	if n, known := k.neighbors[key]; known {
		k.neighbors[key] = change(n)
	}
}

// mark notes that there is a link to a peer.
func (k *keeper) mark(now time.Time, name string) {
	for key, n := range k.neighbors {
		if n.name == name {
			k.neighbors[key] = n.withLink(now)
		}
	}
}

// end notes that a link ended, unless another one has taken its place.
func (k *keeper) end(now time.Time, e ended) {
	closeDone(e.done)
	if !k.remove(e.link) {
		return
	}
	name := e.link.vm().Name
	event.Info(k.cfg.Logger, event.LinkDown).Str("Peer", name).Int("Code", int(code.Of(e.err))).Err(e.err).Send()
	for key, n := range k.neighbors {
		if n.name == name {
			k.neighbors[key] = n.withEnd(now, k.timing, k.rng)
		}
	}
}

// remove takes a link out of use. It returns false if the link was replaced.
func (k *keeper) remove(l *link) bool {
	name := l.vm().Name
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.links[name] != l {
		return false
	}
	delete(k.links, name)
	delete(k.unwanted, name)
	return true
}
