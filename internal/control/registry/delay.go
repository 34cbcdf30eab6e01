package registry

import (
	"math/rand/v2"
	"time"
)

const (
	// rankStep is how much later each rank tries to accept a submission.
	rankStep = 100 * time.Millisecond
	// maxRankDelay bounds that, so that a submission does not wait for a gateway
	// that is down.
	maxRankDelay = time.Second
	// rankJitter keeps gateways of one rank apart.
	rankJitter = 50 * time.Millisecond
	// pollShare is the interval that each gateway of a fleet adds to the slow reads
	// of all: a large fleet makes 200 a second together.
	pollShare = 5 * time.Millisecond
	// startShare is the time that each gateway of a fleet adds to the start.
	startShare = time.Millisecond
	// statusShare is the interval that each gateway adds to the status reports.
	statusShare = 100 * time.Millisecond
)

// AcceptDelay returns how long a gateway of the given rank, from 0, leaves a new
// submission to the ranks before it. It saves calls; correctness rests on the
// conditional write alone.
func AcceptDelay(rng *rand.Rand, rank int) time.Duration {
	delay := min(time.Duration(max(rank, 0))*rankStep, maxRankDelay)
	return delay + time.Duration(rng.Int64N(int64(rankJitter)))
}

// PollDelay returns the time to the next slow read: the base, or more in a large
// fleet, within a quarter.
func PollDelay(rng *rand.Rand, base time.Duration, fleet int) time.Duration {
	return jittered(rng, max(base, time.Duration(fleet)*pollShare))
}

// StartDelay returns the time before the first read, which spreads the reads of a
// fleet that starts at once.
func StartDelay(rng *rand.Rand, fleet int) time.Duration {
	return time.Duration(rng.Int64N(int64(time.Duration(max(fleet, 1)) * startShare)))
}

// StatusDelay returns the time from a change to a status report. The first rank
// reports for all whose state it knows; the others look later whether that was
// enough.
func StatusDelay(rng *rand.Rand, base time.Duration, rank, fleet int) time.Duration {
	if rank == 0 {
		return jittered(rng, base)
	}
	window := max(base, time.Duration(fleet)*statusShare)
	return jittered(rng, base) + base/2 + time.Duration(rng.Int64N(int64(window)))
}

func jittered(rng *rand.Rand, d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rng.Int64N(int64(d/2)+1))
}
