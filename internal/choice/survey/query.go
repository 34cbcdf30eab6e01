package survey

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

// SelectQueries returns up to n servers to query. If there are more candidates, half
// are those with the best last known scores and the rest are random.
func (c *Chooser) SelectQueries(now time.Time, rng *rand.Rand, reqs mustardsaddle.Requirements, n int) []mustardsaddle.Server {
	return c.selectAmong(now, rng, reqs, n, c.inFirstZone(now, reqs))
}

// selectAmong is SelectQueries among the servers for which accept returns true.
func (c *Chooser) selectAmong(now time.Time, rng *rand.Rand, reqs mustardsaddle.Requirements, n int, accept func(*server) bool) []mustardsaddle.Server {
	var candidates []*server
	for _, s := range c.servers {
		if accept(s) && c.eligible(now, s, reqs) && !slices.Contains(reqs.Limited, s.Name) && s.needsQuery(now, c.cfg.RequeryAge) {
			candidates = append(candidates, s)
		}
	}
	rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	if c.zones != nil {
		slices.SortStableFunc(candidates, func(a, b *server) int { return cmp.Compare(c.zones.own[b.Name], c.zones.own[a.Name]) })
	}
	if len(candidates) > n {
		best := slices.Clone(candidates)
		slices.SortStableFunc(best, func(a, b *server) int {
			return cmp.Compare(c.score(now, a, reqs), c.score(now, b, reqs))
		})
		candidates = fill(best[:n/2], candidates, n)
	}
	queried := make([]mustardsaddle.Server, len(candidates))
	for i, s := range candidates {
		s.queriedAt = now
		queried[i] = s.Server
	}
	return queried
}

// fill returns the first servers followed by others, up to n in all.
func fill(first, others []*server, n int) []*server {
	list := slices.Clone(first)
	for _, s := range others {
		if len(list) == n {
			break
		}
		if !slices.Contains(first, s) {
			list = append(list, s)
		}
	}
	return list
}

// CancelQueries reports that servers returned by SelectQueries were not queried.
func (c *Chooser) CancelQueries(servers []mustardsaddle.Server) {
	for _, known := range servers {
		if s := c.byName[known.Name]; s != nil {
			s.queriedAt = time.Time{}
		}
	}
}

// RecordQuery records the result of a load query.
func (c *Chooser) RecordQuery(now time.Time, name string, reply mustardsaddle.Reply) {
	s := c.byName[name]
	if s == nil {
		return
	}
	s.queriedAt = time.Time{}
	switch reply {
	case mustardsaddle.NoReply:
		s.missedQueries++
		s.missedAt = now
		if s.missedQueries == unresponsiveQueries {
			c.recordExclusion(s.Name, reasonUnresponsive, unresponsivePause, s.failureRate)
		}
	case mustardsaddle.OtherReply:
		s.markAddressTaken(now)
		c.recordExclusion(s.Name, reasonAddressTaken, addressTakenPause, s.failureRate)
	case mustardsaddle.OwnReply:
		s.missedQueries = 0
	}
}
