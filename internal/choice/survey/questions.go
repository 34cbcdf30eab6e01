package survey

import (
	"time"

	"golang.org/x/time/rate"
)

// QueryWait bounds how long a call waits for the load reports of the servers
// that it queried.
const QueryWait = 15 * time.Millisecond

const (
	// queryShare is the share of the allowed load queries that the live gateways
	// plan to send.
	queryShare = 0.85
	// queryBurst is the time over which unused tokens accumulate.
	queryBurst = 2 * time.Second
	// reserveCalls is the number of calls among which the available tokens are
	// divided.
	reserveCalls = 2
	// minQueries is the number of servers that a call queries when tokens are
	// scarce: choosing the better of two servers is far better than choosing one
	// without comparison.
	minQueries = 2
)

// QueryLimiter is a token bucket that limits the load queries from one gateway to
// the servers of a service. It performs no I/O and is not safe for concurrent use.
type QueryLimiter struct {
	limiter    *rate.Limiter
	maxPerCall int
}

// NewQueryLimiter returns a limiter that lets one call query at most maxPerCall
// servers. It permits no query until SetRate is called.
func NewQueryLimiter(maxPerCall int) *QueryLimiter {
	return &QueryLimiter{limiter: rate.NewLimiter(0, 0), maxPerCall: maxPerCall}
}

// GatewayQueryRate returns the query rate of one gateway, in queries per second,
// when perServer is the rate that each server accepts from all gateways together.
func GatewayQueryRate(perServer float64, servers, gateways int) float64 {
	return queryShare * perServer * float64(servers) / float64(gateways)
}

// SetRate changes the refill rate, in queries per second.
func (q *QueryLimiter) SetRate(now time.Time, perSecond float64) {
	q.limiter.SetLimitAt(now, rate.Limit(perSecond))
	q.limiter.SetBurstAt(now, max(int(perSecond*queryBurst.Seconds()), q.maxPerCall))
}

// CallLimit returns how many servers the next call may query. It returns fewer when
// tokens are scarce, so that the calls after it can query some servers too.
func (q *QueryLimiter) CallLimit(now time.Time) int {
	n := int(q.limiter.TokensAt(now) / reserveCalls)
	return min(max(n, minQueries), q.maxPerCall)
}

// Allow consumes one token. It returns false if there is none.
func (q *QueryLimiter) Allow(now time.Time) bool {
	return q.limiter.AllowN(now, 1)
}
