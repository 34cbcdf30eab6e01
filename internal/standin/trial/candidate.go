package trial

import (
	"mustardsaddle.example/mustardsaddle/internal/choice/bench"
)

// candidate is a load balancing policy that takes part in a comparison.
type candidate struct {
	name string
	cfg  bench.Config
	// retry allows a gateway to retry a call on another server after a server has
	// definitely shed it.
	retry bool
	// central replaces all gateways by a single one.
	central bool
}

// retryShare returns the retry budget in retries per call: 0, which selects the default,
// if the candidate retries, or else -1, which disables retries.
func (c candidate) retryShare() float64 {
	if c.retry {
		return 0
	}
	return -1
}

// centralQueue is the name of the reference candidate, the best known way to place calls.
const centralQueue = "CentralQueue"

// candidates returns all candidates, with the reference candidate first.
func candidates() []candidate {
	plain := func(p bench.Policy) candidate {
		return candidate{name: p.String(), cfg: bench.Config{Policy: p, IgnoreShed: true}}
	}
	retrying := func(p bench.Policy) candidate {
		return candidate{name: p.String() + "+Next", cfg: bench.Config{Policy: p}, retry: true}
	}
	return []candidate{
		{name: centralQueue, cfg: bench.Config{Policy: bench.HotCold, IgnoreShed: true}, retry: true, central: true},
		plain(bench.RoundRobin),
		plain(bench.TwoChoices),
		plain(bench.HotCold),
		plain(bench.PreferredSpill),
		retrying(bench.TwoChoices),
		retrying(bench.HotCold),
		retrying(bench.PreferredSpill),
	}
}

// candidatesByName returns the candidates with the given names.
func candidatesByName(names []string) ([]candidate, error) {
	return selectByName("candidate", candidates(), names, func(c candidate) string { return c.name })
}
