package rule

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// MaxWeight is the upper limit of the weight of one service.
const MaxWeight = 1e6

// WeightedService is one weighted service of a TrafficSplit.
type WeightedService struct {
	// Service is the name of the service.
	Service string
	// Weight is its share of the requests, relative to the sum of all weights.
	Weight float64
}

// TrafficSplit distributes the requests of a rule among services by weight. A
// TrafficSplit is immutable.
type TrafficSplit struct {
	services []WeightedService
	total    float64
}

// Services returns the services in the order of the rule. Callers must not modify the
// slice.
func (s TrafficSplit) Services() []WeightedService {
	return s.services
}

// Pick selects the service of one request at random, by weight.
func (s TrafficSplit) Pick(rng *rand.Rand) string {
	if len(s.services) == 1 {
		return s.services[0].Service
	}
	at := rng.Float64() * s.total
	for _, service := range s.services {
		if at < service.Weight {
			return service.Service
		}
		at -= service.Weight
	}
	return s.heaviest()
}

// heaviest returns the service with the highest weight, which is never 0. It is the
// fallback when rounding leaves Pick without a service.
func (s TrafficSplit) heaviest() string {
	var best WeightedService
	for _, service := range s.services {
		if service.Weight > best.Weight {
			best = service
		}
	}
	return best.Service
}

// Services returns the services that the rule names, with their weights; none for a line
// that names no service.
func (r Rule) Services() []WeightedService {
	if r.Service == "" {
		return nil
	}
	return r.trafficSplit().services
}

// trafficSplit returns the weighted services of the rule. The names that operators may write are
// their own encoding.
func (r Rule) trafficSplit() TrafficSplit {
	s, _ := directoryFormat().parseSplit(r.Service)
	return s
}

// parseSplit parses A, or A:90,B:10. A service without a weight must be the only one.
func (f format) parseSplit(value string) (TrafficSplit, Problem) {
	if !strings.Contains(value, ":") {
		name, problem := f.parseService(value)
		return TrafficSplit{services: []WeightedService{{Service: name, Weight: 1}}, total: 1}, problem
	}
	s := TrafficSplit{services: make([]WeightedService, 0, strings.Count(value, ",")+1)}
	var seen fieldNames
	for text := range strings.SplitSeq(value, ",") {
		encoded, weight, _ := strings.Cut(text, ":")
		name, problem := f.parseService(encoded)
		if problem.Code != code.OK {
			return TrafficSplit{}, problem
		}
		w, err := strconv.ParseFloat(weight, 64)
		if err != nil || math.IsNaN(w) || w < 0 || w > MaxWeight || !seen.add(name) {
			return TrafficSplit{}, problemf(code.RuleBadValue, "got Service=%s, want each service once, with its weight, such as A:90,B:10", value)
		}
		s.services = append(s.services, WeightedService{Service: name, Weight: w})
		s.total += w
	}
	if s.total <= 0 {
		return TrafficSplit{}, problemf(code.RuleBadValue, "got Service=%s, want a weight above 0", value)
	}
	return s, Problem{}
}
