package model

import (
	"math"
	"time"
)

// Demand is the load of the callers in each availability zone. The zero value gives all
// gateways the same load.
type Demand struct {
	// Shares are the shares of the arrivals by zone, which need not add up to 1.
	Shares [zones]float64
	// Swing is the part by which the arrivals of a zone rise and fall around its share
	// within Period, one zone after another.
	Swing  float64
	Period time.Duration
}

// weight returns the weight of a zone's arrivals at a time of the run.
func (d Demand) weight(zone int, at time.Duration) float64 {
	if d.Period == 0 {
		return d.Shares[zone]
	}
	turn := at.Seconds()/d.Period.Seconds() + float64(zone)/zones
	return d.Shares[zone] * (1 + d.Swing*math.Sin(2*math.Pi*turn))
}

// drawZone draws the zone of the next request's caller.
func (sim *simulation) drawZone() string {
	d := sim.cfg.Pattern.Demand
	if d.Shares == [zones]float64{} || sim.cfg.Policy.PerfectInformation {
		return ""
	}
	at, sum := sim.loop.now.Sub(epoch), 0.0
	for zone := range zones {
		sum += d.weight(zone, at)
	}
	drawn := sim.arrivals.Float64() * sum
	for zone := range zones - 1 {
		if drawn -= d.weight(zone, at); drawn < 0 {
			return zoneOf(zone)
		}
	}
	return zoneOf(zones - 1)
}

// gatewaysOf returns the gateways that get the calls of a zone.
func (sim *simulation) gatewaysOf(zone string) []*gateway {
	if zone == "" {
		return sim.gateways
	}
	var list []*gateway
	for _, g := range sim.gateways {
		if g.zone == zone {
			list = append(list, g)
		}
	}
	return list
}

// zone returns the zone of a server.
func (s Servers) zone(i int) string {
	for zone, n := range s.PerZone {
		if i < n {
			return zoneOf(zone)
		}
		i -= n
	}
	return zoneOf(i)
}

// ZonePatterns returns the patterns in which ways of leaving the availability zone are
// compared.
func ZonePatterns() []Pattern {
	pattern := func(name, description string, load float64, perZone [zones]int, d Demand, faults ...Fault) Pattern {
		p := basePattern(name, description, load, faults...)
		p.Gateways, p.Demand = 18, d
		p.Servers.PerZone, p.Servers.Count, p.Servers.OnFull = perZone, perZone[0]+perZone[1]+perZone[2], Hang
		p.Network.CrossZone = 900 * time.Microsecond
		return p
	}
	even, alike := [zones]int{20, 20, 20}, [zones]float64{1, 1, 1}
	return []Pattern{
		pattern("Even", "zones alike", 2.2, even, Demand{Shares: alike}),
		pattern("Wave", "demand that moves through the zones", 2.6, even, Demand{Shares: alike, Swing: 0.55, Period: 15 * time.Second}),
		pattern("OneShort", "a zone with twice the demand of each other", 2.4, even, Demand{Shares: [zones]float64{2, 1, 1}}),
		pattern("AllShort", "more demand than all zones serve", 5, even, Demand{Shares: alike}),
		pattern("SmallZone", "a zone with few servers beside one that is short", 2.4, [zones]int{26, 26, 8}, Demand{Shares: [zones]float64{5, 2, 0.8}}),
		pattern("NoServers", "a zone without servers", 2, [zones]int{30, 30, 0}, Demand{Shares: alike}),
	}
}
