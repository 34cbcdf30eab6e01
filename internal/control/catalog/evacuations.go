package catalog

import (
	"context"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/control/evacuation"
)

const (
	// evacuationsFactor is the multiple of Config.Wait and Config.Stale for evacuations,
	// which have more time to take effect than rules have.
	evacuationsFactor = 2
	// maxWithheld is how long known servers are not used while the evacuations are unknown.
	maxWithheld = 5 * time.Second
)

// evacuationsState is the state of the evacuations collection. It withholds the servers
// until the evacuations are known.
type evacuationsState struct {
	zones evacuation.Zones
	// withheldSince is when servers became known before the evacuations did, and gaveUp is
	// true once they are used all the same.
	withheldSince time.Time
	gaveUp        bool
}

// Evacuations returns the evacuated zones.
func (c *Catalog) Evacuations() []evacuation.Zone {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evacuations.zones.List()
}

// followedCollections returns the collections that the catalog replicates.
func (c *Catalog) followedCollections() []mustardsaddle.Collection {
	collections := []mustardsaddle.Collection{mustardsaddle.RulesCollection, mustardsaddle.ServersCollection}
	if c.cfg.Evacuations {
		collections = append(collections, mustardsaddle.EvacuationsCollection)
	}
	return collections
}

// follows reports whether the catalog replicates a collection.
func (c *Catalog) follows(collection mustardsaddle.Collection) bool {
	return collection != mustardsaddle.EvacuationsCollection || c.cfg.Evacuations
}

// applyEvacuations applies an update of the evacuations, and publishes the servers that it
// concerns. The caller holds mu.
func (c *Catalog) applyEvacuations(now time.Time, u mustardsaddle.Update) {
	withheld := c.withheld()
	p := &c.known[mustardsaddle.EvacuationsCollection]
	p.position = u.Position
	before := c.evacuations.zones
	c.evacuations.zones = before.With(now, u)
	digest := digestEvacuations(c.evacuations.zones.Listed())
	if p.digest != digest {
		c.cfg.OnEvacuations()
	}
	p.digest = digest
	if withheld {
		c.publishServices(now, func(mustardsaddle.Server) bool { return true })
		return
	}
	c.publishEvacuated(now, before)
}

// publishEvacuated publishes the services with servers in a zone whose evacuation has begun
// or ended. The caller holds mu.
func (c *Catalog) publishEvacuated(now time.Time, before evacuation.Zones) {
	after := c.evacuations.zones
	c.publishServices(now, func(s mustardsaddle.Server) bool { return before.Evacuated(s.Zone) != after.Evacuated(s.Zone) })
}

// publishServices publishes the services that have a matching server. The caller holds mu.
func (c *Catalog) publishServices(now time.Time, match func(mustardsaddle.Server) bool) {
	services := make(map[string]bool)
	for _, s := range c.servers.AllServers() {
		if match(s.Server) {
			services[s.Service] = true
		}
	}
	for service := range services {
		c.publishService(now, service)
	}
}

// publishService reports the servers of a service, unless they are withheld. The caller
// holds mu.
func (c *Catalog) publishService(now time.Time, service string) {
	if c.withheld() {
		if c.evacuations.withheldSince.IsZero() {
			c.evacuations.withheldSince = now
		}
		return
	}
	c.cfg.Servers(now, service, c.marked(c.servers.Servers(service)))
}

// marked returns servers with what the evacuations mean for them. The caller holds mu.
func (c *Catalog) marked(stated []StatedServer) []mustardsaddle.Server {
	servers := make([]mustardsaddle.Server, len(stated))
	for i, s := range stated {
		servers[i] = c.evacuations.zones.Mark(s.Server, s.After, c.cfg.WarmUp(s.Service))
	}
	return servers
}

// withheld reports whether the servers are not to be used yet, because the evacuations are
// unknown. The caller holds mu.
func (c *Catalog) withheld() bool {
	return c.cfg.Evacuations && !c.evacuations.gaveUp && c.known[mustardsaddle.EvacuationsCollection].position.IsZero()
}

// expireEvacuations ends the evacuations that a restored directory does not list, and the
// withholding of the servers, when their time has passed. The caller holds mu.
func (c *Catalog) expireEvacuations(now time.Time) {
	if since := c.evacuations.withheldSince; c.withheld() && !since.IsZero() && now.Sub(since) >= maxWithheld {
		c.evacuations.gaveUp = true
		event.Warn(c.cfg.Logger, event.EvacuationsUnknown).Dur("For", now.Sub(since)).Send()
		c.publishServices(now, func(mustardsaddle.Server) bool { return true })
	}
	if before := c.evacuations.zones; before.HasPending() {
		c.evacuations.zones = before.WithTime(now)
		c.publishEvacuated(now, before)
	}
}

// forwardEvacuations forwards the whole set of evacuations, if an update has led to the
// known position or confirmed it. The caller holds mu.
func (c *Catalog) forwardEvacuations(from string, u mustardsaddle.Update) {
	p := c.known[mustardsaddle.EvacuationsCollection]
	if p.position != u.Position {
		return
	}
	c.cfg.Forward(from, mustardsaddle.EvacuationsCollection, mustardsaddle.Update{
		Whole: true, Position: p.position, Age: u.Age, Digest: p.digest, Evacuations: c.evacuations.zones.Listed(), Reading: u.Reading,
	})
}

// readTiming returns the duration of a watch of a collection and the age from which a
// gateway reads it itself.
func (c *Catalog) readTiming(collection mustardsaddle.Collection) (wait, stale time.Duration) {
	switch collection {
	case mustardsaddle.EvacuationsCollection:
		return c.cfg.Wait * evacuationsFactor, c.cfg.Stale * evacuationsFactor
	case mustardsaddle.RulesCollection:
		return c.cfg.Wait / rulesWatchDivisor, c.cfg.Stale
	default:
		return c.cfg.Wait, c.cfg.Stale
	}
}

// runLoops returns the loops of Run.
func (c *Catalog) runLoops() []func(context.Context) {
	loops := []func(context.Context){c.expire}
	for _, collection := range c.followedCollections() {
		loops = append(loops, func(ctx context.Context) { c.follow(ctx, collection) })
	}
	return loops
}
