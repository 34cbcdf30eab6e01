package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// configBound is the time after its acknowledgement from which a version is in force.
	configBound = 2 * time.Second
	// grownBy is the number of routes that one growth of the configuration adds.
	grownBy = 350
	growths = 21
	// configMargin is how long a request is sent after configBound.
	configMargin = 250 * time.Millisecond
	// fewRounds and manyRounds are the numbers of requests on each route to each gateway,
	// after each growth and at the end.
	fewRounds, manyRounds = 2, 10
)

// configGrows: the operator adds routes to the configuration, always within the size of a
// value of the store. Are requests on the routes still served?
func configGrows(b *bench) (bool, error) {
	runs := newRuns()
	for range 3 {
		if _, err := b.startUpstream(upstreamConfig{service: desk, slots: 2, queue: 2, work: 20 * time.Millisecond, tellsLoad: true}, runs); err != nil {
			return false, err
		}
	}
	c := config{version: 7, services: []string{desk}, routes: map[string]any{
		"r-a3hwrr6": route("/lohu930/", "safe", "1000ms"), "r-x73d3zj": route("/pufi791/", "unsafe", "1200ms"),
	}}
	if _, ok := b.store.putConfig(c); !ok {
		return false, fmt.Errorf("the store takes no first configuration")
	}
	if err := b.startGateways(3); err != nil {
		return false, err
	}
	broken := b.checkRoutes(c, runs, fewRounds)
	for n := range growths {
		if !b.trouble {
			break
		}
		for i := range grownBy {
			name := fmt.Sprintf("%07d", n*grownBy+i)
			c.routes["r-"+name] = route("/k"+name+"/", "safe", "1000ms")
		}
		c.version += 3
		size, ok := b.store.putConfig(c)
		if !ok {
			return false, fmt.Errorf("the configuration is larger than a value may be: %d bytes", size)
		}
		b.note("the store acknowledges version %d: %d routes, %d of %d bytes", c.version, len(c.routes), size, valueBytes)
		time.Sleep(configBound + configMargin)
		broken += b.checkRoutes(c, runs, fewRounds)
	}
	time.Sleep(configBound)
	broken += b.checkRoutes(c, runs, manyRounds)
	for _, g := range b.gateways {
		for _, line := range b.log(g, `"RulesIgnored"`) {
			b.note("log of %s: %s", g.name, line)
		}
	}
	b.note("requests on routes of the configuration that were answered 404: %d", broken)
	return broken > 0, nil
}

// checkRoutes sends requests on routes of the configuration to all gateways, more than
// configBound after its acknowledgement. It returns how many are answered 404.
func (b *bench) checkRoutes(c config, runs *runs, rounds int) int {
	cl, missing, statuses := newClient(), 0, make(map[int]int)
	for _, g := range b.gateways {
		for range rounds {
			for _, path := range []string{readPath, bookingPath} {
				method := http.MethodGet
				if path == bookingPath {
					method = http.MethodPost
				}
				id := newID()
				status, err := cl.send(call{gateway: g.front, method: method, host: host, path: path, id: id, deadline: requestTime})
				b.note("%s %s, request %s to %s: status %d, ran at %v, error %v", method, path, id, g.name, status, runs.of(id), err)
				statuses[status]++
				if status == http.StatusNotFound {
					missing++
				}
			}
		}
	}
	b.note("version %d is in force; requests on its first two routes, by status: %s", c.version, text(statuses))
	return missing
}
