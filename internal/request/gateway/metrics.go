package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"mustardsaddle.example/mustardsaddle"
)

// firstBucket and buckets give latency histograms from 0.25 ms to 8 s.
const (
	firstBucket = 250 * time.Microsecond
	buckets     = 16
)

// laneMetrics are the counters and histograms of one service.
type laneMetrics struct {
	outcomes [3]tally.Counter
	attempts tally.Counter
	retries  tally.Counter
	hedges   tally.Counter
	silent   tally.Counter
	resumed  tally.Counter
	cut      tally.Counter
	// badReports counts load reports that could not be read.
	badReports tally.Counter
	questions  tally.Counter
	queued     tally.Histogram
	header     tally.Histogram
}

func newLaneMetrics(scope tally.Scope, service string) *laneMetrics {
	s := scope.Tagged(map[string]string{"Service": service})
	times := tally.MustMakeExponentialDurationBuckets(firstBucket, 2, buckets)
	m := &laneMetrics{
		attempts:   s.Counter("Attempts"),
		retries:    s.Counter("Retries"),
		hedges:     s.Counter("Hedges"),
		silent:     s.Counter("SilentConnections"),
		resumed:    s.Counter("ResumedDownloads"),
		cut:        s.Counter("CutAnswers"),
		badReports: s.Counter("BadReports"),
		questions:  s.Counter("Questions"),
		queued:     s.Histogram("QueueTime", times),
		header:     s.Histogram("HeaderTime", times),
	}
	for _, o := range []mustardsaddle.Outcome{mustardsaddle.Unknown, mustardsaddle.NotRun, mustardsaddle.Ran} {
		m.outcomes[o] = s.Tagged(map[string]string{"Outcome": o.String()}).Counter("Calls")
	}
	return m
}
