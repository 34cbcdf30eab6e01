package trial

import (
	"mustardsaddle.example/mustardsaddle/internal/choice/bench"
)

// candidate is one way to choose servers.
type candidate struct {
	name string
	cfg  bench.Config
	// next lets a call go on to the next server after a definite shed.
	next bool
	// central puts one gateway in place of all.
	central bool
}

// retryShare returns the retries that a call earns; candidates without the next
// server have none.
func (c candidate) retryShare() float64 {
	if c.next {
		return 0
	}
	return -1
}

// centralQueue names the best known placement.
const centralQueue = "CentralQueue"

// candidates returns all candidates.
func candidates() []candidate {
	plain := func(p bench.Policy) candidate {
		return candidate{name: p.String(), cfg: bench.Config{Policy: p, IgnoreShed: true}}
	}
	next := func(p bench.Policy) candidate {
		return candidate{name: p.String() + "+Next", cfg: bench.Config{Policy: p}, next: true}
	}
	return []candidate{
		{name: centralQueue, cfg: bench.Config{Policy: bench.HotCold, IgnoreShed: true}, next: true, central: true},
		plain(bench.RoundRobin),
		plain(bench.TwoChoices),
		plain(bench.HotCold),
		plain(bench.PreferredSpill),
		next(bench.TwoChoices),
		next(bench.HotCold),
		next(bench.PreferredSpill),
	}
}

// candidatesOf returns the candidates with the given names.
func candidatesOf(wanted []string) ([]candidate, error) {
	return selected("candidate", candidates(), wanted, func(c candidate) string { return c.name })
}
