package server

import (
	"math/rand/v2"
	"time"
)

// NoisyNeighbor describes another tenant of the server's host. While it is busy,
// the server's service times are multiplied. The zero value is never busy.
type NoisyNeighbor struct {
	// Factor multiplies service times while the neighbor is busy.
	Factor float64
	// Busy is the mean length of a busy period.
	Busy time.Duration
	// Idle is the mean length of an idle period.
	Idle time.Duration
}

// neighborState alternates between busy and idle periods of random length.
type neighborState struct {
	cfg  NoisyNeighbor
	rng  *rand.Rand
	busy bool
	// switchAt is when the current period ends; zero before the first use.
	switchAt time.Time
}

func newNeighborState(cfg NoisyNeighbor, seed uint64) neighborState {
	return neighborState{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 2))}
}

// factor returns the multiplier of service times at the given time. Successive
// calls must not go back in time.
func (n *neighborState) factor(now time.Time) float64 {
	if n.cfg.Factor <= 0 {
		return 1
	}
	if n.switchAt.IsZero() {
		n.switchAt = now.Add(n.drawPeriod(n.cfg.Idle))
	}
	for !now.Before(n.switchAt) {
		n.busy = !n.busy
		mean := n.cfg.Idle
		if n.busy {
			mean = n.cfg.Busy
		}
		n.switchAt = n.switchAt.Add(n.drawPeriod(mean))
	}
	if n.busy {
		return n.cfg.Factor
	}
	return 1
}

// drawPeriod draws the length of a period, at least a millisecond.
func (n *neighborState) drawPeriod(mean time.Duration) time.Duration {
	return time.Millisecond + time.Duration(n.rng.ExpFloat64()*float64(mean))
}
