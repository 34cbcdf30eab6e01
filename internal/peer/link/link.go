// Package link keeps the links between gateways: WebSocket connections that
// carry CBOR messages of package news.
//
// A link is used by both ends alike, whoever dialled. Each end introduces itself
// with Hello, then sends a heartbeat at a steady interval. A link on which
// nothing comes for some heartbeats is closed and dialled anew on a new
// connection, because an open connection can be silent for good while a new one
// works. Tries back off with jitter.
//
// Sending never blocks. Each link has a bounded queue; when it is full, the oldest
// messages go. That is safe because the heartbeats carry a summary of what
// the sender knows, from which the peer sees that it lacks something and asks.
//
// # Usage
//
//	links := link.New(link.Config{Self: vm, Summary: summary, Receive: receive, Lost: lost})
//	links.Mount(router)
//	go func() { ended <- links.Run(ctx) }()
//	links.SetNeighbors(roster.Neighbors(r.Peers(), vm.Name, roster.NeighborConfig{}))
//	links.Broadcast(news.Marks{Marks: marks})
package link

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/peer/news"
)

// Path is where links are accepted on the peer address.
const Path = "/peer"

// Config configures Links.
type Config struct {
	// Self is this gateway.
	Self mustardsaddle.VM
	// Summary returns what this gateway knows. It must not block.
	Summary func() news.Summary
	// Receive takes each message, the Hello of a new link first. Calls for one
	// link come one after another, calls for different links at the same time. It
	// may call Send and Broadcast, and must not block: the link waits for it.
	Receive func(now time.Time, from string, msg news.Message)
	// Lost, if set, is told when a neighbor has had no link for Timing.Silence.
	// The Hello of a later link says that the neighbor is back.
	Lost func(now time.Time, name string)
	// Timing decides when links are made and closed.
	Timing Timing
	// MaxLinks bounds the connections that others may open.
	MaxLinks int
	// Queue is how many messages may wait on a link.
	Queue int
	// QueueBytes is how many bytes may wait on a link.
	QueueBytes int
	// Seed seeds the jitter.
	Seed uint64
	// Logger takes the log events.
	Logger zerolog.Logger
}

// Stats counts what the links have done since the start.
type Stats struct {
	// Links is the number of links that are up.
	Links int
	// SentMessages, SentBytes, ReceivedMessages and ReceivedBytes count what
	// travelled, without the framing of WebSocket and TCP.
	SentMessages, SentBytes, ReceivedMessages, ReceivedBytes int64
	// Dials counts tries to connect.
	Dials int64
	// Silent counts links closed for silence.
	Silent int64
	// Dropped counts messages dropped from full queues.
	Dropped int64
	// Refused counts messages refused for their format.
	Refused int64
}

type counters struct {
	sentMessages, sentBytes, receivedMessages, receivedBytes, dials, silent, dropped, refused atomic.Int64
}

// Links keeps the links of one gateway. It is safe for concurrent use.
type Links struct {
	cfg    Config
	timing Timing
	codec  *news.Codec
	client *http.Client
	counts counters
	// accepting counts the connections that peers opened, introduced or not.
	accepting atomic.Int64

	// wanted and accepted are read by Run alone; stopped is closed when it ends.
	wanted   chan []mustardsaddle.VM
	accepted chan acceptedConn
	stopped  chan struct{}

	mu    sync.Mutex
	links map[string]*link
}

// acceptedConn is a connection that a peer opened. Done is closed when it is over.
type acceptedConn struct {
	conn *websocket.Conn
	done chan struct{}
}

// New returns Links without neighbors. Nothing happens before Run.
func New(cfg Config) *Links {
	cfg.MaxLinks = cmp.Or(cfg.MaxLinks, defaultMaxLinks)
	cfg.Queue = cmp.Or(cfg.Queue, defaultQueue)
	cfg.QueueBytes = cmp.Or(cfg.QueueBytes, defaultQueueBytes)
	return &Links{
		cfg:      cfg,
		timing:   cfg.Timing.withDefaults(),
		codec:    news.NewCodec(),
		client:   &http.Client{Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil}},
		wanted:   make(chan []mustardsaddle.VM, 1),
		accepted: make(chan acceptedConn),
		stopped:  make(chan struct{}),
		links:    make(map[string]*link),
	}
}

// Mount adds the handler that accepts links to a router.
func (l *Links) Mount(r *mux.Router) {
	r.Handle(Path, l).Methods(http.MethodGet)
}

// ServeHTTP accepts a link, and returns when it has ended.
func (l *Links) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer l.accepting.Add(-1)
	if l.accepting.Add(1) > int64(l.cfg.MaxLinks) {
		http.Error(w, "too many links", http.StatusServiceUnavailable)
		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	a := acceptedConn{conn: conn, done: make(chan struct{})}
	select {
	case l.accepted <- a:
		<-a.done
	case <-l.stopped:
	}
	_ = conn.CloseNow()
}

// SetNeighbors replaces the VMs to which links are kept. It never blocks. A VM
// whose name is not known yet, such as one from the settings, may be given by
// its peer address alone.
func (l *Links) SetNeighbors(vms []mustardsaddle.VM) {
	vms = slices.Clone(vms)
	for {
		select {
		case l.wanted <- vms:
			return
		default:
		}
		select {
		case <-l.wanted:
		default:
		}
	}
}

// Peers returns the names of the linked peers in order.
func (l *Links) Peers() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.links))
}

// Broadcast sends a message to every linked peer.
func (l *Links) Broadcast(msg news.Message) {
	l.SendAll(l.Peers(), msg)
}

// Send queues a message for a peer. It returns false if there is no link to it.
func (l *Links) Send(peer string, msg news.Message) bool {
	return l.SendAll([]string{peer}, msg) == 1
}

// SendAll queues a message, encoded once, for several peers, and returns to how
// many there is a link.
func (l *Links) SendAll(peers []string, msg news.Message) int {
	if len(peers) == 0 {
		return 0
	}
	data, err := l.codec.Encode(msg)
	if err != nil {
		event.Error(l.cfg.Logger, event.PeerMessageRefused).Int("Code", int(code.Of(err))).Err(err).Send()
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	sent := 0
	for _, peer := range peers {
		k := l.links[peer]
		if k == nil {
			continue
		}
		sent++
		if n := k.queue.add(item{kind: msg.Type(), data: data}); n > 0 {
			l.counts.dropped.Add(int64(n))
			event.Warn(l.cfg.Logger, event.PeerNewsDropped).Str("Peer", peer).Int("Messages", n).Send()
		}
	}
	return sent
}

// Stats returns the counts so far.
func (l *Links) Stats() Stats {
	return Stats{
		Links:            len(l.Peers()),
		SentMessages:     l.counts.sentMessages.Load(),
		SentBytes:        l.counts.sentBytes.Load(),
		ReceivedMessages: l.counts.receivedMessages.Load(),
		ReceivedBytes:    l.counts.receivedBytes.Load(),
		Dials:            l.counts.dials.Load(),
		Silent:           l.counts.silent.Load(),
		Dropped:          l.counts.dropped.Load(),
		Refused:          l.counts.refused.Load(),
	}
}

// Run keeps the links until the context ends, then closes them and waits for
// their goroutines. It is called once.
func (l *Links) Run(ctx context.Context) error {
	defer close(l.stopped)
	k := &keeper{
		Links:       l,
		rng:         rand.New(rand.NewPCG(l.cfg.Seed, uint64(l.cfg.Self.Incarnation))),
		neighbors:   make(map[string]neighbor),
		unwanted:    make(map[string]time.Time),
		established: make(chan established),
		ended:       make(chan ended),
	}
	return k.run(ctx)
}
