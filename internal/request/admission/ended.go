package admission

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/choice/reach"
)

const (
	// endDialTimeout bounds the time to open a connection that shows whether a server has
	// ended.
	endDialTimeout = 300 * time.Millisecond
	// endCheckLifetime is how long the result of a check holds for further requests to the
	// same instance.
	endCheckLifetime = time.Second
	// maxWitnesses is the number of other servers that are dialed, of which one has to
	// accept.
	maxWitnesses = 4
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// EndCheck finds out whether a server that broke off a request, or did not respond in time,
// has ended. It has if it accepts no new connection while other servers do: a gateway that
// is cut off, a connection that was reset and a server that is slow show nothing.
type EndCheck struct {
	done chan struct{}
	// startedAt is when the check began.
	startedAt time.Time

	mu       sync.Mutex
	finished bool
	ended    bool
	onEnded  []func()
}

// Done returns a channel that is closed when the check is over.
func (e *EndCheck) Done() <-chan struct{} { return e.done }

// Ended reports whether the check has shown that the server has ended.
func (e *EndCheck) Ended() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ended
}

// foundAlive reports whether the check has shown that the server runs. It may end later.
func (e *EndCheck) foundAlive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.finished && !e.ended
}

// OnEnded calls f as soon as the check has shown that the server has ended. It must not
// block.
func (e *EndCheck) OnEnded(f func()) {
	e.mu.Lock()
	pending := !e.finished
	if pending {
		e.onEnded = append(e.onEnded, f)
	}
	ended := e.ended
	e.mu.Unlock()
	if !pending && ended {
		f()
	}
}

// finish records the result.
func (e *EndCheck) finish(ended bool) {
	e.mu.Lock()
	e.finished, e.ended = true, ended
	callbacks := e.onEnded
	e.onEnded = nil
	e.mu.Unlock()
	if ended {
		for _, f := range callbacks {
			f()
		}
	}
	close(e.done)
}

// endChecks holds the newest check of each instance. It is safe for concurrent use.
type endChecks struct {
	mu     sync.Mutex
	checks map[mustardsaddle.Instance]*EndCheck
}

func newEndChecks() *endChecks {
	return &endChecks{checks: make(map[mustardsaddle.Instance]*EndCheck)}
}

// start returns the check of an instance, and true if the caller has to carry it out.
func (s *endChecks) start(now time.Time, instance mustardsaddle.Instance) (*EndCheck, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for known, e := range s.checks {
		if now.Sub(e.startedAt) >= endCheckLifetime {
			delete(s.checks, known)
		}
	}
	if e := s.checks[instance]; e != nil && !e.foundAlive() {
		return e, false
	}
	e := &EndCheck{done: make(chan struct{}), startedAt: now}
	s.checks[instance] = e
	return e, true
}

// CheckEnded starts to find out whether a server has ended, or returns the check that has
// begun a moment ago. The check goes on if the context ends.
func (c *Controller) CheckEnded(ctx context.Context, now time.Time, server mustardsaddle.Server) *EndCheck {
	e, first := c.controllers.endChecks.start(now, server.Instance())
	if !first {
		return e
	}
	ctx = context.WithoutCancel(ctx)
	go func() {
		cause, ended := c.serverEnded(ctx, server)
		if ended {
			c.Metrics.ServersEnded.Inc(1)
			event.Warn(c.controllers.cfg.Logger, event.ServerEnded).Str("Service", c.Service).Str("Server", server.Name).
				Int64("Incarnation", server.Incarnation).Str("Cause", cause.String()).Dur("Took", time.Since(now)).Send()
		}
		e.finish(ended)
	}()
	return e
}

// witnesses returns some other servers of the service.
func (c *Controller) witnesses(server mustardsaddle.Server) []mustardsaddle.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	var others []mustardsaddle.Server
	for _, s := range c.listed {
		if s.Name != server.Name && s.Address != server.Address && !s.Evacuated {
			others = append(others, s)
		}
	}
	shuffle(c.rng, others)
	return others[:min(len(others), maxWitnesses)]
}

func shuffle(rng *rand.Rand, servers []mustardsaddle.Server) {
	rng.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
}

// serverEnded reports whether a server accepts no connection while a witness does. Without
// any witness a refused connection suffices.
func (c *Controller) serverEnded(ctx context.Context, server mustardsaddle.Server) (reach.Cause, bool) {
	err := c.controllers.accepts(ctx, server)
	if err == nil {
		return 0, false
	}
	cause, witnesses := FailureCause(err), c.witnesses(server)
	accepted := make(chan bool, len(witnesses))
	for _, w := range witnesses {
		go func() { accepted <- c.controllers.accepts(ctx, w) == nil }()
	}
	if len(witnesses) == 0 {
		return cause, cause == reach.Refused
	}
	for range witnesses {
		if <-accepted {
			return cause, true
		}
	}
	return cause, false
}

// accepts returns an error unless a server accepts a new connection.
func (cs *Controllers) accepts(ctx context.Context, server mustardsaddle.Server) error {
	ctx, cancel := context.WithTimeout(ctx, endDialTimeout)
	defer cancel()
	conn, err := cs.cfg.Dial(ctx, "tcp", server.Address)
	if err != nil {
		return err
	}
	return conn.Close()
}
