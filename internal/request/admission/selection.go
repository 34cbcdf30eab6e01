package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/choice/spill"
	"mustardsaddle.example/mustardsaddle/internal/request/connection"
	"mustardsaddle.example/mustardsaddle/internal/request/slot"
)

// requirements returns the requirements of an attempt that excludes the servers already
// tried and those that may not get a request now by their own statements.
func (c *Controller) requirements(now time.Time, tried []string) mustardsaddle.Requirements {
	restricted := c.controllers.statements.restrictions(now, c.Service, c.known)
	return mustardsaddle.Requirements{
		Exclude: append(slices.Clip(tried), restricted.excluded...), Limited: restricted.limited, Cold: restricted.cold,
		Zone: c.controllers.cfg.Zone, Bytes: int(c.responseBytes), RequestBytes: int(c.requestBytes),
	}
}

// restrictedWait returns the time until a usable server that was not tried may get a
// request by its own statements. It returns false if one may now, or if none is left. The
// caller holds mu.
func (c *Controller) restrictedWait(now time.Time, tried []string) (time.Duration, bool) {
	restricted := c.controllers.statements.restrictions(now, c.Service, nil)
	if len(restricted.excluded) == 0 {
		return 0, false
	}
	blocked := len(tried)
	for _, server := range restricted.excluded {
		if !slices.Contains(tried, server) {
			blocked++
		}
	}
	return restricted.wait, blocked >= c.usable
}

// choose picks a server that is below its limits and counts the attempt as in flight.
func (c *Controller) choose(now time.Time, reqs mustardsaddle.Requirements) (mustardsaddle.Choice, bool) {
	for {
		choice, ok := c.chooser.Choose(now, c.rng, reqs)
		if !ok {
			return choice, false
		}
		if c.limits.Acquire(choice.Server.Name, c.limit(choice.Server)) {
			if c.controllers.statements.take(now, choice.Server.Name) {
				c.recordZone(now, choice)
				return choice, true
			}
			c.limits.Release(choice.Server.Name)
		}
		c.chooser.Finish(now, mustardsaddle.Result{Server: choice.Server.Name, Outcome: mustardsaddle.NotRun, Canceled: true})
		reqs.Exclude = append(slices.Clip(reqs.Exclude), choice.Server.Name)
	}
}

// recordZone counts an attempt that leaves the availability zone, and logs when such
// attempts begin, change by much or end. The caller holds mu.
func (c *Controller) recordZone(now time.Time, choice mustardsaddle.Choice) {
	var way spill.Way
	if choice.Left != "" {
		way = spill.Way{Zone: choice.Server.Zone, Reason: choice.Left}
		c.Metrics.leftZone(way)
	}
	change, ok := c.left.Record(now, way)
	if !ok {
		return
	}
	event.Info(c.controllers.cfg.Logger, event.CallsLeaveZone).Str("Service", c.Service).Str("Step", change.Step.String()).
		Float64("Share", change.Share).Float64("Before", change.Before).Int("Attempts", change.Attempts).
		Str("Zone", change.Zone).Str("Reason", change.Reason).Send()
}

// limit returns the maximum number of attempts that this gateway may have in flight
// to a server: its share of the server's connections less the idle ones that the
// connection pool may keep. The connection count set in the rules for the service
// takes precedence over the server's own. If neither is set, there is no limit.
func (c *Controller) limit(s mustardsaddle.Server) int {
	connections := s.Connections
	if table := c.controllers.cfg.Rules(); table != nil {
		connections = cmp.Or(table.Service(c.Service).Connections, connections)
	}
	if connections == 0 {
		return math.MaxInt
	}
	return max(slot.Connections(connections, int(c.controllers.gateways.Load()))-connection.MaxIdlePerServer, 1)
}

// ChooseOther picks a server other than the named one, or the named one if no other
// has capacity.
func (c *Controller) ChooseOther(now time.Time, server string) (mustardsaddle.Choice, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if choice, ok := c.choose(now, c.requirements(now, []string{server})); ok {
		return choice, true
	}
	return c.choose(now, c.requirements(now, nil))
}
