package admin

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
)

// State is the state of the control plane of a gateway that the metrics page shows
// besides the metrics of calls. Totals count from the start of the process.
type State struct {
	// Ready is true while the gateway accepts calls.
	Ready bool
	// Generation is the generation of the rules in force.
	Generation int64
	// InFlight is the number of calls in flight.
	InFlight int
	// Gateways is the number of live gateways, this one included.
	Gateways int
	// Servers is the number of known endpoint servers, and Leaving the number of those
	// that are leaving.
	Servers, Leaving int
	// ServersLimited is the number of endpoint servers that limit the rate of their
	// requests, ServersStatedLeaving of those that state that they are leaving, and
	// ServersPaused of those that want no request of this gateway for a time.
	// ServersWarmingUp is the number of those that are limited because they are warming up.
	ServersLimited, ServersStatedLeaving, ServersPaused, ServersWarmingUp int
	// ZonesEvacuated is the number of evacuated availability zones, and EvacuatedInFlight
	// the number of attempts of this gateway that run there.
	ZonesEvacuated, EvacuatedInFlight int
	// ServicesLost is the number of services whose servers this gateway cannot reach.
	ServicesLost int
	// GatewaysCutOff is the number of gateways, this one included, that cannot reach the
	// servers of some service.
	GatewaysCutOff int
	// RequestsSuspect and RequestsQuarantined are the numbers of requests under which servers
	// have ended.
	RequestsSuspect, RequestsQuarantined int
	// Links is the number of links to other gateways.
	Links int
	// PeerMessages and PeerBytes are the totals sent and received over links.
	PeerMessages, PeerBytes int64
	// Probes and ProbeBytes are the totals that probes and load queries have charged to
	// their common budget. ProbesRefused is the total of those that the budget did not
	// allow.
	Probes, ProbeBytes, ProbesRefused int64
	// ProbesAgreed and ProbeBytesAgreed are the configured limits of this budget per
	// second.
	ProbesAgreed, ProbeBytesAgreed float64
	// StoreReads, StoreWatches and StoreWrites are the totals of requests sent to the
	// platform. StoreFailures is the total of those without a usable response, and
	// StoreUnsent of those that the budget or the circuit breaker held back.
	StoreReads, StoreWatches, StoreWrites, StoreFailures, StoreUnsent int64
	// StoreEra is the newest known era of the platform's store, which rises when the store
	// is restored from an older copy. StoreErasIgnored is the total of responses whose era
	// could not be used.
	StoreEra, StoreErasIgnored int64
	// BufferedBytes is the memory in use for parts of messages that are kept, and BuffersRefused
	// the total of times that there was too little.
	BufferedBytes, BuffersRefused int64
}

// stateMetrics are the gauges and counters that show a State.
type stateMetrics struct {
	ready, generation, inFlight, gateways, servers, leaving, links                      tally.Gauge
	peerMessages, peerBytes                                                             tally.Counter
	probes, probeBytes, probesRefused                                                   tally.Counter
	probesAgreed, probeBytesAgreed                                                      tally.Gauge
	serversLimited, serversStatedLeaving, serversPaused, serversWarmingUp, servicesLost tally.Gauge
	storeReads, storeWatches, storeWrites, storeFailures, storeUnsent                   tally.Counter
	gatewaysCutOff, storeEra                                                            tally.Gauge
	storeErasIgnored, buffersRefused                                                    tally.Counter
	bufferedBytes                                                                       tally.Gauge
	requestsSuspect, requestsQuarantined                                                tally.Gauge
	zonesEvacuated, evacuatedInFlight                                                   tally.Gauge
}

func newStateMetrics(scope tally.Scope) stateMetrics {
	return stateMetrics{
		ready:                scope.Gauge("Ready"),
		generation:           scope.Gauge("Generation"),
		inFlight:             scope.Gauge("InFlight"),
		gateways:             scope.Gauge("Gateways"),
		servers:              scope.Gauge("Servers"),
		leaving:              scope.Gauge("ServersLeaving"),
		serversLimited:       scope.Gauge("ServersLimited"),
		serversWarmingUp:     scope.Gauge("ServersWarmingUp"),
		serversStatedLeaving: scope.Gauge("ServersStatedLeaving"),
		serversPaused:        scope.Gauge("ServersPaused"),
		servicesLost:         scope.Gauge("ServicesLost"),
		gatewaysCutOff:       scope.Gauge("GatewaysCutOff"),
		requestsSuspect:      scope.Gauge("RequestsSuspect"),
		requestsQuarantined:  scope.Gauge("RequestsQuarantined"),
		zonesEvacuated:       scope.Gauge("ZonesEvacuated"),
		evacuatedInFlight:    scope.Gauge("EvacuatedInFlight"),
		links:                scope.Gauge("PeerLinks"),
		peerMessages:         scope.Counter("PeerMessages"),
		peerBytes:            scope.Counter("PeerBytes"),
		probes:               scope.Counter("Probes"),
		probeBytes:           scope.Counter("ProbeBytes"),
		probesRefused:        scope.Counter("ProbesRefused"),
		probesAgreed:         scope.Gauge("ProbesAgreed"),
		probeBytesAgreed:     scope.Gauge("ProbeBytesAgreed"),
		storeReads:           scope.Counter("StoreReads"),
		storeWatches:         scope.Counter("StoreWatches"),
		storeWrites:          scope.Counter("StoreWrites"),
		storeFailures:        scope.Counter("StoreFailures"),
		storeUnsent:          scope.Counter("StoreUnsent"),
		storeEra:             scope.Gauge("StoreEra"),
		storeErasIgnored:     scope.Counter("StoreErasIgnored"),
		bufferedBytes:        scope.Gauge("BufferedBytes"),
		buffersRefused:       scope.Counter("BuffersRefused"),
	}
}

// update sets the gauges to the next state, and raises the counters by the difference
// from the old state, which was shown before.
func (m stateMetrics) update(old, next State) {
	ready := 0.0
	if next.Ready {
		ready = 1
	}
	m.ready.Update(ready)
	m.generation.Update(float64(next.Generation))
	m.inFlight.Update(float64(next.InFlight))
	m.gateways.Update(float64(next.Gateways))
	m.servers.Update(float64(next.Servers))
	m.leaving.Update(float64(next.Leaving))
	m.serversLimited.Update(float64(next.ServersLimited))
	m.serversWarmingUp.Update(float64(next.ServersWarmingUp))
	m.serversStatedLeaving.Update(float64(next.ServersStatedLeaving))
	m.serversPaused.Update(float64(next.ServersPaused))
	m.servicesLost.Update(float64(next.ServicesLost))
	m.gatewaysCutOff.Update(float64(next.GatewaysCutOff))
	m.requestsSuspect.Update(float64(next.RequestsSuspect))
	m.requestsQuarantined.Update(float64(next.RequestsQuarantined))
	m.zonesEvacuated.Update(float64(next.ZonesEvacuated))
	m.evacuatedInFlight.Update(float64(next.EvacuatedInFlight))
	m.links.Update(float64(next.Links))
	m.peerMessages.Inc(next.PeerMessages - old.PeerMessages)
	m.peerBytes.Inc(next.PeerBytes - old.PeerBytes)
	m.probes.Inc(next.Probes - old.Probes)
	m.probeBytes.Inc(next.ProbeBytes - old.ProbeBytes)
	m.probesRefused.Inc(next.ProbesRefused - old.ProbesRefused)
	m.probesAgreed.Update(next.ProbesAgreed)
	m.probeBytesAgreed.Update(next.ProbeBytesAgreed)
	m.storeReads.Inc(next.StoreReads - old.StoreReads)
	m.storeWatches.Inc(next.StoreWatches - old.StoreWatches)
	m.storeWrites.Inc(next.StoreWrites - old.StoreWrites)
	m.storeFailures.Inc(next.StoreFailures - old.StoreFailures)
	m.storeUnsent.Inc(next.StoreUnsent - old.StoreUnsent)
	m.storeEra.Update(float64(next.StoreEra))
	m.storeErasIgnored.Inc(next.StoreErasIgnored - old.StoreErasIgnored)
	m.bufferedBytes.Update(float64(next.BufferedBytes))
	m.buffersRefused.Inc(next.BuffersRefused - old.BuffersRefused)
}

// ReportState updates the metrics page with the state at each interval until the
// context ends; then it updates the page once more and closes done. The state function
// must answer from memory.
func (m *Metrics) ReportState(ctx context.Context, state func() State, done chan<- struct{}) {
	defer close(done)
	metrics := newStateMetrics(m.scope)
	ticker := time.NewTicker(m.interval)
	defer ticker.Stop()
	var old State
	for {
		next := state()
		metrics.update(old, next)
		old = next
		select {
		case <-ticker.C:
		case <-ctx.Done():
			metrics.update(old, state())
			return
		}
	}
}
