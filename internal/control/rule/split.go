package rule

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// maxWeight is the upper limit of the weight of one service.
const maxWeight = 1e6

// Part is one weighted service of a Split.
type Part struct {
	// Service is the name of the service.
	Service string
	// Weight is its share of the requests, relative to the sum of all weights.
	Weight float64
}

// Split distributes the requests of a rule among services by weight. A Split is
// immutable.
type Split struct {
	parts []Part
	total float64
}

// Parts returns the services in the order of the rule. Callers must not modify the
// slice.
func (s Split) Parts() []Part {
	return s.parts
}

// Pick selects the service of one request at random, by weight.
func (s Split) Pick(rng *rand.Rand) string {
	if len(s.parts) == 1 {
		return s.parts[0].Service
	}
	at := rng.Float64() * s.total
	for _, p := range s.parts {
		if at < p.Weight {
			return p.Service
		}
		at -= p.Weight
	}
	return s.heaviest()
}

// heaviest returns the service with the highest weight, which is never 0. It is the
// fallback when rounding leaves Pick without a service.
func (s Split) heaviest() string {
	var best Part
	for _, p := range s.parts {
		if p.Weight > best.Weight {
			best = p
		}
	}
	return best.Service
}

// Services returns the services that the rule names, with their weights.
func (r Rule) Services() []Part {
	s, _ := parseSplit(r.Service)
	return s.parts
}

// parseSplit parses A, or A:90,B:10. A service without a weight must be the only one.
func parseSplit(value string) (Split, Problem) {
	if !strings.Contains(value, ":") {
		return Split{parts: []Part{{Service: value, Weight: 1}}, total: 1}, checkService(value)
	}
	var s Split
	seen := make(map[string]bool)
	for text := range strings.SplitSeq(value, ",") {
		name, weight, _ := strings.Cut(text, ":")
		if problem := checkService(name); problem.Code != code.OK {
			return Split{}, problem
		}
		w, err := strconv.ParseFloat(weight, 64)
		if err != nil || math.IsNaN(w) || w < 0 || w > maxWeight || seen[name] {
			return Split{}, problemf(code.RuleBadValue, "got Service=%s, want each service once, with its weight, such as A:90,B:10", value)
		}
		seen[name] = true
		s.parts = append(s.parts, Part{Service: name, Weight: w})
		s.total += w
	}
	if s.total <= 0 {
		return Split{}, problemf(code.RuleBadValue, "got Service=%s, want a weight above 0", value)
	}
	return s, Problem{}
}
