package admission

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/survey"
	"mustardsaddle.example/mustardsaddle/internal/request/connection"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
)

// queryTimeout is the timeout of a load query, after which its connection is closed.
const queryTimeout = 150 * time.Millisecond

// updateQueryRate updates the rate limit of load queries to this gateway's share of what
// the servers of the service may receive. The caller holds mu.
func (c *Controller) updateQueryRate(now time.Time) {
	gateways := cmp.Or(c.controllers.gateways.Load(), defaultFleetSize)
	c.queryLimit.SetRate(now, survey.GatewayQueryRate(c.controllers.cfg.LoadQueriesPerServer, c.usable, int(gateways)))
}

// QueryLoad queries a few servers for their load if the chooser is a LoadQuerier, and
// waits up to survey.QueryWait for the responses. It returns true if the budgets allowed
// no query, so that the choice has to rely on older reports or none.
func (c *Controller) QueryLoad(ctx context.Context, tried []string) (unqueried bool) {
	servers, unqueried := c.selectQueries(tried, mustardsaddle.LoadQuerier.SelectQueries)
	if len(servers) > 0 {
		c.queryServers(ctx, servers, survey.QueryWait)
	}
	c.queryLeaving(ctx, tried)
	return unqueried
}

// queryLeaving queries servers of another availability zone if the chooser finds that
// leaving the own one may pay.
func (c *Controller) queryLeaving(ctx context.Context, tried []string) {
	leaver, ok := c.chooser.(mustardsaddle.ZoneLeaver)
	if !ok {
		return
	}
	servers, _ := c.selectQueries(tried, func(_ mustardsaddle.LoadQuerier, now time.Time, rng *rand.Rand, reqs mustardsaddle.Requirements, n int) []mustardsaddle.Server {
		return leaver.SelectLeaving(now, rng, reqs, n)
	})
	if len(servers) == 0 {
		return
	}
	c.queryServers(ctx, servers, survey.QueryWait)
	c.mu.Lock()
	defer c.mu.Unlock()
	leaver.RecordLeaving(time.Now(), servers)
}

// QueryLost sends load queries to servers of a lost service, whose responses show when it
// can be reached again. It does not wait for them.
func (c *Controller) QueryLost(ctx context.Context) {
	if servers, _ := c.selectQueries(nil, mustardsaddle.LoadQuerier.SelectQueries); len(servers) > 0 {
		c.queryServers(ctx, servers, 0)
	}
}

// selectQueries returns those of the selected servers that the budgets allow to query.
// Unqueried is true if they allowed no query.
func (c *Controller) selectQueries(tried []string, selectFrom querySelector) (servers []mustardsaddle.Server, unqueried bool) {
	querier, ok := c.chooser.(mustardsaddle.LoadQuerier)
	if !ok || c.controllers.cfg.Budget == nil {
		return nil, false
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	servers = selectFrom(querier, now, c.rng, c.requirements(now, tried), c.queryLimit.CallLimit(now))
	for i := range servers {
		if !c.queryLimit.Allow(now) || !c.controllers.cfg.Budget.Allow(now, 1, probeRequestBytes+probeResponseBytes) {
			querier.CancelQueries(servers[i:])
			servers = servers[:i]
			unqueried = i == 0
			break
		}
	}
	if len(servers) > 0 {
		c.queriedAt = now
	}
	return servers, unqueried
}

// queryServers queries servers concurrently. It returns when all have responded or after
// maxWait. Later responses are still processed.
func (c *Controller) queryServers(ctx context.Context, servers []mustardsaddle.Server, maxWait time.Duration) {
	c.Metrics.LoadQueries.Inc(int64(len(servers)))
	path := c.controllers.probePath(c.Service)
	done := make(chan struct{}, len(servers))
	for _, server := range servers {
		go func() {
			// Other calls use the response too, so canceling the call must not cancel
			// the query.
			queryCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), queryTimeout)
			defer cancel()
			c.queryServer(queryCtx, server, path)
			done <- struct{}{}
		}()
	}
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	for range servers {
		select {
		case <-done:
		case <-timeout.C:
			return
		}
	}
}

// queryServer queries one server and processes its response.
func (c *Controller) queryServer(ctx context.Context, server mustardsaddle.Server, path string) {
	sentAt := time.Now()
	var dial dialTrace
	h, status, reply, err := c.controllers.sendQuery(dial.trace(ctx), server, path)
	now := time.Now()
	failure := dial.failure(server.Name, err, sentAt, queryTimeout)
	dial.record(c, now, failure)
	if err == nil || errors.Is(err, errOtherRequest) {
		c.RecordReply(now, server.Name)
	} else {
		c.RecordFailure(now, failure)
	}
	c.mu.Lock()
	if querier, ok := c.chooser.(mustardsaddle.LoadQuerier); ok {
		querier.RecordQuery(now, server.Name, reply)
	}
	if reply == mustardsaddle.OwnReply {
		c.idleAt[server.Name] = now
	}
	c.logExclusions()
	c.mu.Unlock()
	if reply == mustardsaddle.OwnReply {
		c.ObserveResponse(now, Response{Server: server, Header: h, Status: status, SentAt: sentAt, LoadQuery: true})
	}
}

// sendQuery sends a load query and returns the response header and status. The reply is
// OtherReply if the response names a different server, and NoReply with an error if there
// is none.
func (cs *Controllers) sendQuery(ctx context.Context, server mustardsaddle.Server, path string) (http.Header, int, mustardsaddle.Reply, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address+path, http.NoBody)
	if err != nil {
		return nil, 0, mustardsaddle.NoReply, err
	}
	r.Header["User-Agent"] = nil
	h, status, err := cs.fetchHeader(r)
	if err != nil {
		return nil, 0, mustardsaddle.NoReply, err
	}
	if name := cs.cfg.Headers.Server; name != "" {
		if reported := h.Get(name); reported != "" && reported != server.Name {
			return nil, 0, mustardsaddle.OtherReply, nil
		}
	}
	return h, status, mustardsaddle.OwnReply, nil
}

// errOtherRequest is returned for a response that belongs to another request.
var errOtherRequest = errors.New("query load: server sent the response to another request")

// fetchHeader sends a load request without retrying it, and returns the response
// header and status. It reads a short body so that the connection can be reused. A response that
// names the request it belongs to is a late copy of that one's, since a load request has
// no ID: the connection is closed, because the response to the load request would follow.
func (cs *Controllers) fetchHeader(r *http.Request) (http.Header, int, error) {
	connection.DisableResend(r)
	var conn *connection.CountedConn
	var request int64
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, _ = info.Conn.(*connection.CountedConn)
			if conn == nil {
				return
			}
			if !conn.BeginRequest() {
				conn.BlockWrites()
			}
			request = conn.Requests()
		},
	}))
	resp, err := cs.cfg.Transport.RoundTrip(r)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	early := conn != nil && !conn.Answered(request)
	if early || cs.namesRequest(resp.Header) {
		_ = conn.Close()
		return nil, 0, errOtherRequest
	}
	_, _ = io.CopyN(io.Discard, resp.Body, probeResponseBytes)
	return resp.Header, resp.StatusCode, nil
}

// namesRequest reports whether a response names the request that it belongs to.
func (cs *Controllers) namesRequest(h http.Header) bool {
	if h.Get(header.Attempt) != "" {
		return true
	}
	name := cs.cfg.Headers.RequestID
	return name != "" && h.Get(name) != ""
}

// probePath returns the URL path of load reports for a service.
func (cs *Controllers) probePath(service string) string {
	if table := cs.cfg.Rules(); table != nil {
		if path := table.Service(service).Probe; path != "" {
			return path
		}
	}
	return cs.cfg.ProbePath
}

// querySelector returns up to n servers to query, as LoadQuerier.SelectQueries does.
type querySelector func(q mustardsaddle.LoadQuerier, now time.Time, rng *rand.Rand, reqs mustardsaddle.Requirements, n int) []mustardsaddle.Server
