package server

import (
	"math/rand/v2"
	"time"
)

// Neighbour is another tenant of a server's machine. While it is busy, the
// server's working times are multiplied. The zero value is never busy.
type Neighbour struct {
	// Factor multiplies working times while the neighbour is busy.
	Factor float64
	// Busy is the mean length of a busy period.
	Busy time.Duration
	// Idle is the mean length of the time between two busy periods.
	Idle time.Duration
}

// noise is the course of a neighbour's busy periods.
type noise struct {
	cfg  Neighbour
	rng  *rand.Rand
	busy bool
	next time.Time
}

func newNoise(cfg Neighbour, seed uint64) noise {
	return noise{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 2))}
}

// factor returns what working times are multiplied by at the given time, which
// must not fall.
func (n *noise) factor(now time.Time) float64 {
	if n.cfg.Factor <= 0 {
		return 1
	}
	if n.next.IsZero() {
		n.next = now.Add(n.length(n.cfg.Idle))
	}
	for !now.Before(n.next) {
		n.busy = !n.busy
		mean := n.cfg.Idle
		if n.busy {
			mean = n.cfg.Busy
		}
		n.next = n.next.Add(n.length(mean))
	}
	if n.busy {
		return n.cfg.Factor
	}
	return 1
}

// length draws the length of a period of at least a millisecond.
func (n *noise) length(mean time.Duration) time.Duration {
	return time.Millisecond + time.Duration(n.rng.ExpFloat64()*float64(mean))
}
