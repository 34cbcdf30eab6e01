package admission

import (
	"net/url"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/spill"
)

// firstBucket and buckets define exponential latency buckets from 0.25 ms to 8 s.
const (
	firstBucket = 250 * time.Microsecond
	buckets     = 16
)

// Metrics are the counters and histograms of one service.
type Metrics struct {
	// Outcomes counts calls by outcome, and Attempts counts requests sent to servers.
	Outcomes [3]tally.Counter
	Attempts tally.Counter
	Retries  tally.Counter
	Hedges   tally.Counter
	// RetriesRefused counts retries and hedges that the retry budget did not allow.
	RetriesRefused tally.Counter
	// Deferred counts calls that were refused because they could no longer meet their target
	// while others that could found no server.
	Deferred tally.Counter
	// Forwarded counts calls that were forwarded to another gateway, and Carried those that
	// another gateway has forwarded to this one, which are not counted in Outcomes.
	Forwarded, Carried tally.Counter
	// NoResponse counts attempts on reused connections that returned nothing, Resumed
	// counts downloads resumed from another server, and Truncated counts truncated
	// responses.
	NoResponse tally.Counter
	Resumed    tally.Counter
	Truncated  tally.Counter
	// ServersEnded counts servers that ended while they ran requests of this gateway.
	ServersEnded tally.Counter
	// BadReports counts load reports that could not be parsed.
	BadReports tally.Counter
	// BadStatements counts statements of servers that could not be parsed.
	BadStatements tally.Counter
	// LoadQueries counts load queries sent before an attempt.
	LoadQueries tally.Counter
	// Queued measures the time that calls spend in the queue, and Header the time to
	// the response header.
	Queued tally.Histogram
	Header tally.Histogram

	scope tally.Scope
}

// leftZone counts an attempt that goes to a server of another availability zone.
func (m *Metrics) leftZone(way spill.Way) {
	m.scope.Tagged(map[string]string{"Zone": metricLabel(way.Zone), "Reason": way.Reason}).Counter("LeftZone").Inc(1)
}

// metricLabel returns any name as the value of a label, so that two names never share their
// metrics: characters other than letters, digits and -_.~ are percent-encoded.
func metricLabel(name string) string {
	return strings.ReplaceAll(url.QueryEscape(name), "+", "%20")
}

func newMetrics(scope tally.Scope, service string) *Metrics {
	s := scope.Tagged(map[string]string{"Service": metricLabel(service)})
	times := tally.MustMakeExponentialDurationBuckets(firstBucket, 2, buckets)
	m := &Metrics{
		Attempts: s.Counter("Attempts"),
		Retries:  s.Counter("Retries"),
		Hedges:   s.Counter("Hedges"),

		RetriesRefused: s.Counter("RetriesRefused"),

		Forwarded:     s.Counter("Forwarded"),
		Carried:       s.Counter("Carried"),
		Deferred:      s.Counter("Deferred"),
		NoResponse:    s.Counter("SilentConnections"),
		Resumed:       s.Counter("ResumedDownloads"),
		Truncated:     s.Counter("CutAnswers"),
		ServersEnded:  s.Counter("ServersEnded"),
		BadReports:    s.Counter("BadReports"),
		BadStatements: s.Counter("BadStatements"),
		LoadQueries:   s.Counter("Questions"),
		Queued:        s.Histogram("QueueTime", times),
		Header:        s.Histogram("HeaderTime", times),
		scope:         s,
	}
	for _, o := range []mustardsaddle.Outcome{mustardsaddle.Unknown, mustardsaddle.NotRun, mustardsaddle.Ran} {
		m.Outcomes[o] = s.Tagged(map[string]string{"Outcome": o.String()}).Counter("Calls")
	}
	return m
}
