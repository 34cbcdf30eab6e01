// Package grant carries the messages with which gateways divide the quotas of customers:
// WebSocket connections at the peer address with CBOR messages. A gateway connects to
// the few others that grant quotas to it. Desk makes all decisions.
//
// Nothing is opened or sent while no customer has a quota. A gateway of a build without this
// package answers a connection with 404, and is not asked again for a time.
//
// # Usage
//
//	q := grant.New(grant.Config{Desk: allowance.NewDesk(now, "gateway-1"), Logger: logger})
//	q.Mount(router)
//	go q.Run(ctx, done)
//	q.SetGateways(now, gateways)
//	if g := q.Acquire(ctx, now, customer); !g.Allowed {
//		... // refuse the call with g.RetryAfter
//	}
package grant

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/buffer"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/base/response"
)

// Path is the URL path, at the peer address, of the connections.
const Path = "/quota"

const (
	// defaultWait is the longest time for which a call waits for a granter. It is longer than
	// the time after which a granter counts as failed.
	defaultWait = 110 * time.Millisecond
	// tickInterval is the time between two calls of Desk.Tick.
	tickInterval = 50 * time.Millisecond
	// reportInterval is the time between two looks for customers that begin or cease to be
	// limited, and maxReports the number of log lines about them each time.
	reportInterval = time.Second
	maxReports     = 20
	// maxInbound bounds the connections that peers may open.
	maxInbound = 2048
	// maxResponseHeaderBytes bounds the response header of a peer.
	maxResponseHeaderBytes = 16 << 10
)

// Desk decides about quotas. Package allowance describes the methods. Calls are serialized.
type Desk interface {
	SetGateways(now time.Time, vms []mustardsaddle.VM)
	SetListed(now time.Time)
	SetLimited(limited bool)
	Active(now time.Time) bool
	Begin(now time.Time, c mustardsaddle.Customer)
	Take(now time.Time, c mustardsaddle.Customer, random float64) (mustardsaddle.Grant, bool)
	Granter(customer string) string
	GiveUp(now time.Time, c mustardsaddle.Customer, random float64) mustardsaddle.Grant
	Release(now time.Time, customer string)
	Next(now time.Time, peer string) (mustardsaddle.QuotaAsk, bool)
	Receive(now time.Time, peer string, reply mustardsaddle.QuotaReply) ([]string, error)
	SetFailed(now time.Time, peer string, unsupported bool) []string
	Drop(peer string) []string
	Tick(now time.Time) (wanted []mustardsaddle.VM, overdue []string)
	Serve(now time.Time, ask mustardsaddle.QuotaAsk) (mustardsaddle.QuotaReply, error)
	Left(now time.Time, peer string)
	Top(now time.Time, limit int) []mustardsaddle.QuotaUse
	Changes(now time.Time) []mustardsaddle.QuotaUse
	Counts() mustardsaddle.QuotaCounts
}

// Config configures Quotas.
type Config struct {
	// Desk makes the decisions.
	Desk Desk
	// Listed, if set, reports whether this gateway has read a list of all gateways, before
	// which it grants nothing.
	Listed func() bool
	// Wait is the longest time for which Acquire waits for a granter; 0 means 110 ms.
	Wait time.Duration
	// Seed seeds the random generator of decisions without a granter.
	Seed uint64
	// Metrics, if set, is the scope of the metrics.
	Metrics tally.Scope
	// Logger receives the log events.
	Logger zerolog.Logger
}

// Quotas divides the quotas of customers among the gateways. It is safe for concurrent use.
type Quotas struct {
	cfg     Config
	codec   codec
	client  *http.Client
	metrics metrics
	// badLogged is true once a message that cannot be used has been logged.
	badLogged sync.Once
	// base is the context of the connections that peers open. Run ends it with stop.
	base context.Context
	stop context.CancelFunc
	// wake wakes Run, and ends receives the connections that have ended. Run alone receives
	// from them.
	wake chan struct{}
	ends chan *conn

	mu   sync.Mutex
	desk Desk
	rng  *rand.Rand
	// reads bounds the messages that are read.
	reads buffer.ReadLimits
	// waiters holds, for each customer with waiting calls, a channel that is closed when they
	// have to take again.
	waiters map[string]chan struct{}
	conns   map[string]*conn
	// inbound counts the connections of each peer, and inboundTotal all of them. Run waits for
	// them with inboundEnds once no further one is accepted because closed is true.
	inbound      map[string]int
	inboundTotal int
	inboundEnds  sync.WaitGroup
	closed       bool
}

var _ mustardsaddle.CustomerQuota = (*Quotas)(nil)

// New returns Quotas that open no connection before Run.
func New(cfg Config) *Quotas {
	if cfg.Wait == 0 {
		cfg.Wait = defaultWait
	}
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	base, stop := context.WithCancel(context.Background())
	return &Quotas{
		base: base, stop: stop, cfg: cfg, codec: newCodec(), metrics: newMetrics(cfg.Metrics), desk: cfg.Desk,
		client: &http.Client{Transport: response.NewUpgradeTransport(maxResponseHeaderBytes)},
		wake:   make(chan struct{}, 1), ends: make(chan *conn),
		rng:     rand.New(rand.NewPCG(cfg.Seed, 2)),
		reads:   buffer.ReadLimits{MaxBytes: maxMessageBytes, FreeBytes: freeMessageBytes, Large: buffer.NewPool(largeMessageBytes)},
		waiters: make(map[string]chan struct{}), conns: make(map[string]*conn), inbound: make(map[string]int),
	}
}

// Mount adds the handler that accepts the connections of peers to a router.
func (q *Quotas) Mount(r *mux.Router) {
	r.Handle(Path, q).Methods(http.MethodGet)
}

// SetGateways replaces the known gateways. It never blocks for long.
func (q *Quotas) SetGateways(now time.Time, vms []mustardsaddle.VM) {
	q.mu.Lock()
	q.desk.SetGateways(now, vms)
	q.mu.Unlock()
	q.notify()
}

// SetLimited sets whether the rules in force have a customer with a quota. All gateways then
// bring their shares, also those without calls.
func (q *Quotas) SetLimited(limited bool) {
	q.mu.Lock()
	q.desk.SetLimited(limited)
	q.mu.Unlock()
	q.notify()
}

// notify wakes Run.
func (q *Quotas) notify() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Acquire takes one request from the quota of a customer. It waits for another gateway for
// at most Config.Wait, and not beyond the end of ctx.
func (q *Quotas) Acquire(ctx context.Context, now time.Time, c mustardsaddle.Customer) mustardsaddle.Grant {
	if !c.Limited() {
		return mustardsaddle.Grant{Allowed: true}
	}
	q.mu.Lock()
	first := !q.desk.Active(now)
	q.desk.Begin(now, c)
	grant, decided := q.desk.Take(now, c, q.rng.Float64())
	if decided {
		q.mu.Unlock()
		if first {
			q.notify()
		}
		return grant
	}
	return q.await(ctx, c)
}

// await waits until a call can be decided. The caller holds mu, and await unlocks it.
func (q *Quotas) await(ctx context.Context, c mustardsaddle.Customer) mustardsaddle.Grant {
	timer := time.NewTimer(q.cfg.Wait)
	defer timer.Stop()
	for {
		waiter := q.waiter(c.Name)
		if cn := q.conns[q.desk.Granter(c.Name)]; cn != nil {
			cn.nudge()
		}
		q.mu.Unlock()
		expired := false
		select {
		case <-waiter:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			expired = true
		}
		q.mu.Lock()
		var grant mustardsaddle.Grant
		decided := expired
		if expired {
			grant = q.desk.GiveUp(time.Now(), c, q.rng.Float64())
		} else {
			grant, decided = q.desk.Take(time.Now(), c, q.rng.Float64())
		}
		if decided {
			q.mu.Unlock()
			return grant
		}
	}
}

// waiter returns the channel that is closed when the calls of a customer have to take
// again. The caller holds mu.
func (q *Quotas) waiter(customer string) chan struct{} {
	w := q.waiters[customer]
	if w == nil {
		w = make(chan struct{})
		q.waiters[customer] = w
	}
	return w
}

// release wakes the waiting calls of customers. The caller holds mu.
func (q *Quotas) release(customers []string) {
	for _, name := range customers {
		if w := q.waiters[name]; w != nil {
			close(w)
			delete(q.waiters, name)
		}
	}
}

// Release returns one request that Acquire allowed and that no server ran.
func (q *Quotas) Release(now time.Time, c mustardsaddle.Customer) {
	if !c.Limited() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.desk.Release(now, c.Name)
}

// Top returns the customers with the highest usage that this gateway grants.
func (q *Quotas) Top(now time.Time, limit int) []mustardsaddle.QuotaUse {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.desk.Top(now, limit)
}

// refuse counts a message that cannot be used, and logs the first one.
func (q *Quotas) refuse(peer string, err error) {
	q.metrics.badMessages.Inc(1)
	q.badLogged.Do(func() {
		event.Warn(q.cfg.Logger, event.PeerMessageRefused).Str("Peer", peer).Int("Code", int(code.Of(err))).Err(err).Send()
	})
}
