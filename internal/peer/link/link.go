// Package link maintains the links between gateways: WebSocket connections that
// carry the CBOR messages of package news.
//
// A link is symmetric, whichever end dialed. Each end sends Hello first, and then
// heartbeats at a fixed interval. If nothing is received on a link for several
// heartbeats, the link is closed and dialed again on a new connection, because an
// established connection can stay silent forever while a new one works. Failed
// dials are retried with exponential backoff and jitter.
//
// Sending never blocks. Each link has a bounded queue that drops the oldest
// messages when it is full. Dropping is safe, because each heartbeat carries a
// summary from which the peer detects what it lacks and then requests it.
//
// # Usage
//
//	links := link.New(link.Config{Self: vm, Summary: summary, Receive: receive, OnNeighborLost: onLost})
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
	"mustardsaddle.example/mustardsaddle/internal/base/buffer"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/base/response"
	"mustardsaddle.example/mustardsaddle/internal/peer/news"
)

// Path is the URL path, at the peer address, on which links are accepted.
const Path = "/peer"

// Config configures Links. A limit of zero takes its default.
type Config struct {
	// Self is this gateway.
	Self mustardsaddle.VM
	// Summary returns the summary of this gateway's state. It must not block.
	Summary func() news.Summary
	// Receive is called with each message, beginning with the Hello of a new link.
	// Calls for one link are sequential, and calls for different links concurrent. It
	// may call Send and Broadcast, and must end soon, since the link reads nothing
	// meanwhile.
	Receive func(now time.Time, from string, msg news.Message)
	// Known, if set, reports whether a large message brings nothing new, given its head
	// (news.Received). Such a message is neither decoded nor passed to Receive. Known must
	// not block.
	Known func(now time.Time, head news.Message) bool
	// OnNeighborLost, if set, is called when a neighbor has had no link for
	// Timing.SilenceTimeout. A later Hello from the neighbor shows that it is
	// reachable again.
	OnNeighborLost func(now time.Time, name string)
	// Timing holds the intervals and timeouts of links.
	Timing Timing
	// MaxInboundLinks bounds the connections that peers may open, including those
	// whose handshake is not complete.
	MaxInboundLinks int
	// MaxQueuedMessages is the maximum number of messages in the queue of a link.
	MaxQueuedMessages int
	// MaxQueuedBytes is the maximum size, in bytes, of the messages in the queue of a
	// link. A single message may be larger.
	MaxQueuedBytes int
	// Seed seeds the random generator of the backoff jitter.
	Seed uint64
	// Logger receives the log events.
	Logger zerolog.Logger
}

// Stats holds the number of links that are up, and counters since the start.
type Stats struct {
	// Links is the number of links that are up.
	Links int
	// SentMessages, SentBytes, ReceivedMessages and ReceivedBytes count the encoded
	// messages, without the framing of WebSocket and TCP.
	SentMessages, SentBytes, ReceivedMessages, ReceivedBytes int64
	// Compressed and Decompressed count large messages that were encoded and decoded.
	Compressed, Decompressed int64
	// Duplicates counts large messages that brought nothing new and were not decoded.
	Duplicates int64
	// Dials counts attempts to connect.
	Dials int64
	// TimedOut counts links closed because nothing was received for
	// Timing.SilenceTimeout.
	TimedOut int64
	// Dropped counts messages dropped from full queues.
	Dropped int64
	// NewerFormat counts received messages rejected for their newer format.
	NewerFormat int64
}

type counters struct {
	sentMessages, sentBytes, receivedMessages, receivedBytes, dials, timedOut, dropped, duplicates, newerFormat atomic.Int64
}

// Links maintains the links of one gateway. It is safe for concurrent use.
type Links struct {
	cfg    Config
	timing Timing
	codec  *news.Codec
	client *http.Client
	counts counters
	// reads bounds the messages that are read.
	reads buffer.ReadLimits
	// inboundConns counts the open connections that peers dialed, including those
	// whose handshake is not complete.
	inboundConns atomic.Int64

	// largeMu is held while a large message is decoded and handled.
	largeMu sync.Mutex

	// Run alone receives from neighborUpdates and acceptedConns, and closes stopped
	// when it returns.
	neighborUpdates chan []mustardsaddle.VM
	acceptedConns   chan acceptedConn
	stopped         chan struct{}

	mu    sync.Mutex
	links map[string]*link
}

// acceptedConn is a connection that a peer opened. The event loop closes done when
// the connection is no longer in use.
type acceptedConn struct {
	conn *websocket.Conn
	done chan struct{}
}

// New returns Links without neighbors. It dials and accepts nothing before Run.
func New(cfg Config) *Links {
	cfg.MaxInboundLinks = cmp.Or(cfg.MaxInboundLinks, defaultMaxInboundLinks)
	cfg.MaxQueuedMessages = cmp.Or(cfg.MaxQueuedMessages, defaultMaxQueuedMessages)
	cfg.MaxQueuedBytes = cmp.Or(cfg.MaxQueuedBytes, defaultMaxQueuedBytes)
	return &Links{
		cfg:             cfg,
		timing:          cfg.Timing.withDefaults(),
		codec:           news.NewCodec(),
		reads:           buffer.ReadLimits{MaxBytes: news.MaxBytes, FreeBytes: freeMessageBytes, Large: buffer.NewPool(largeMessageBytes)},
		client:          &http.Client{Transport: response.NewUpgradeTransport(maxResponseHeaderBytes)},
		neighborUpdates: make(chan []mustardsaddle.VM, 1),
		acceptedConns:   make(chan acceptedConn),
		stopped:         make(chan struct{}),
		links:           make(map[string]*link),
	}
}

// Mount adds the handler that accepts links to a router.
func (l *Links) Mount(r *mux.Router) {
	r.Handle(Path, l).Methods(http.MethodGet)
}

// ServeHTTP accepts a link, and returns when the link has ended.
func (l *Links) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer l.inboundConns.Add(-1)
	if l.inboundConns.Add(1) > int64(l.cfg.MaxInboundLinks) {
		http.Error(w, "too many links", http.StatusServiceUnavailable)
		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	a := acceptedConn{conn: conn, done: make(chan struct{})}
	select {
	case l.acceptedConns <- a:
		<-a.done
	case <-l.stopped:
	}
	_ = conn.CloseNow()
}

// SetNeighbors replaces the VMs to which links are maintained. It never blocks. A
// VM whose name is not known yet, such as one from the settings, may be given by
// its peer address alone.
func (l *Links) SetNeighbors(vms []mustardsaddle.VM) {
	vms = slices.Clone(vms)
	for {
		select {
		case l.neighborUpdates <- vms:
			return
		default:
		}
		select {
		case <-l.neighborUpdates:
		default:
		}
	}
}

// Peers returns the sorted names of the linked peers.
func (l *Links) Peers() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.links))
}

// Broadcast queues a message for every linked peer.
func (l *Links) Broadcast(msg news.Message) {
	l.SendAll(l.Peers(), msg)
}

// Send queues a message for a peer. It returns false if there is no link to the
// peer, or the message cannot be encoded.
func (l *Links) Send(peer string, msg news.Message) bool {
	return l.SendAll([]string{peer}, msg) == 1
}

// SendAll encodes a message once and queues it for several peers. It returns the
// number of peers for which the message is queued: those with a link, or 0 if the
// message cannot be encoded.
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
		lk := l.links[peer]
		if lk == nil {
			continue
		}
		sent++
		if n := lk.queue.add(queuedMessage{msgType: msg.Type(), data: data}); n > 0 {
			l.counts.dropped.Add(int64(n))
			event.Warn(l.cfg.Logger, event.PeerNewsDropped).Str("Peer", peer).Int("Messages", n).Send()
		}
	}
	return sent
}

// Stats returns the current number of links and the counters.
func (l *Links) Stats() Stats {
	codec := l.codec.Stats()
	return Stats{
		Links:            len(l.Peers()),
		SentMessages:     l.counts.sentMessages.Load(),
		SentBytes:        l.counts.sentBytes.Load(),
		ReceivedMessages: l.counts.receivedMessages.Load(),
		ReceivedBytes:    l.counts.receivedBytes.Load(),
		Compressed:       codec.Compressed,
		Decompressed:     codec.Decompressed,
		Duplicates:       l.counts.duplicates.Load(),
		Dials:            l.counts.dials.Load(),
		TimedOut:         l.counts.timedOut.Load(),
		Dropped:          l.counts.dropped.Load(),
		NewerFormat:      l.counts.newerFormat.Load(),
	}
}

// Run maintains the links until the context ends, then closes them and waits for
// their goroutines. It must be called only once.
func (l *Links) Run(ctx context.Context) error {
	defer close(l.stopped)
	m := &manager{
		Links:         l,
		rng:           rand.New(rand.NewPCG(l.cfg.Seed, uint64(l.cfg.Self.Incarnation))),
		neighbors:     make(map[string]neighbor),
		unwantedSince: make(map[string]time.Time),
		handshakes:    make(chan handshakeResult),
		linkEnds:      make(chan linkEnd),
	}
	return m.run(ctx)
}
