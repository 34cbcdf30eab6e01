package instance

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/control/evacuation"
	"mustardsaddle.example/mustardsaddle/internal/control/roster"
	"mustardsaddle.example/mustardsaddle/internal/control/store"
)

// evacuationInterval is the time between two checks of what runs in evacuated zones.
const evacuationInterval = 100 * time.Millisecond

// evacuatedZones returns the evacuated zones that this gateway knows and has passed on to
// the request path.
func (in *instance) evacuatedZones() []evacuation.Zone {
	if in.catalog != nil {
		return in.catalog.Evacuations()
	}
	var zones []evacuation.Zone
	in.membership.inspect(func(roster.Roster) { zones = in.zones.Load().List() })
	return zones
}

// applyEvacuations applies the evacuations that the rules in force contain, and publishes the
// servers again that they concern.
func (in *instance) applyEvacuations(now time.Time, listed []mustardsaddle.Evacuation) {
	in.membership.inspect(func(r roster.Roster) {
		before := *in.zones.Load()
		after := before.With(now, mustardsaddle.Update{Whole: true, Evacuations: listed})
		in.zones.Store(&after)
		in.signalEvacuations()
		for _, service := range r.Services() {
			if slices.ContainsFunc(r.Servers(service), func(s mustardsaddle.Server) bool {
				return before.Evacuated(s.Zone) != after.Evacuated(s.Zone)
			}) {
				in.publishServers(now, service, r)
			}
		}
	})
}

// publishServers passes the servers of a service in a roster to the request path, marked with
// what the evacuations mean for them.
func (in *instance) publishServers(now time.Time, service string, r roster.Roster) {
	in.gateway.SetServers(now, service, in.completeServers(service, in.markedServers(service, r)))
}

// markedServers returns the servers of a service in a roster, marked with what the
// evacuations mean for them.
func (in *instance) markedServers(service string, r roster.Roster) []mustardsaddle.Server {
	zones, warmUp := in.zones.Load(), in.warmUp(service)
	servers := slices.Clone(r.Servers(service))
	for i, s := range servers {
		servers[i] = zones.Mark(s, mustardsaddle.Position{}, warmUp)
	}
	return servers
}

// signalEvacuations makes watchEvacuations check the evacuations.
func (in *instance) signalEvacuations() {
	notify(in.evacuationsChanged)
}

// watchEvacuations logs the steps of evacuations until the context ends, then closes done. It
// checks what runs in evacuated zones only while there are any.
func (in *instance) watchEvacuations(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	var tracker evacuation.Tracker
	for {
		select {
		case <-ctx.Done():
			return
		case <-in.evacuationsChanged:
		}
		for in.logEvacuations(&tracker) {
			if !store.Sleep(ctx, evacuationInterval) {
				return
			}
		}
	}
}

// logEvacuations logs the steps of evacuations since its last call. It returns false if no
// zone is evacuated any more.
func (in *instance) logEvacuations(tracker *evacuation.Tracker) bool {
	zones := in.evacuatedZones()
	var inFlight map[string]int
	if len(zones) > 0 {
		inFlight = in.gateway.Controllers().EvacuatedInFlight()
	}
	for _, e := range tracker.Update(time.Now(), zones, inFlight) {
		in.logEvacuation(e)
	}
	return len(zones) > 0
}

// logEvacuation logs one step of an evacuation.
func (in *instance) logEvacuation(e evacuation.Event) {
	var line *zerolog.Event
	switch e.Kind {
	case evacuation.Begun:
		line = event.Info(in.cfg.Logger, event.EvacuationBegun).Int("Servers", in.serversInZone(e.Zone.Zone))
	case evacuation.Drained:
		line = event.Info(in.cfg.Logger, event.EvacuationDrained)
	case evacuation.Ended:
		line = event.Info(in.cfg.Logger, event.EvacuationEnded)
	default:
		return
	}
	line.Str("Zone", e.Zone.Zone).Str("Comment", e.Zone.Comment).Int("InFlight", e.InFlight).Dur("For", e.For).Send()
}

// serversInZone returns the number of known endpoint servers in a zone.
func (in *instance) serversInZone(zone string) int {
	n := 0
	for _, s := range in.servers() {
		if s.Zone == zone {
			n++
		}
	}
	return n
}

// statesEvacuations reports whether a peer has stated in its last summary that it knows the
// evacuations. Only such a peer is sent changes: a newer one asks for what it lacks, and an
// older build does not know the message.
func (in *instance) statesEvacuations(peer string) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.evacuationPeers[peer]
}

// recordStatesEvacuations records whether a peer states that it knows the evacuations.
func (in *instance) recordStatesEvacuations(peer string, states bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !states {
		delete(in.evacuationPeers, peer)
		return
	}
	in.evacuationPeers[peer] = true
}
