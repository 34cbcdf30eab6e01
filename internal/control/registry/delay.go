package registry

import (
	"math/rand/v2"
	"time"
)

const (
	// acceptWindow is the time over which the gateways of a fleet try to accept,
	// one after another.
	acceptWindow = time.Second
	// maxAcceptStep is the time between two of them in a small fleet.
	maxAcceptStep = 100 * time.Millisecond
	// pollShare is the interval that each gateway of a fleet adds to the slow reads
	// of all: a large fleet makes 200 a second together.
	pollShare = 5 * time.Millisecond
	// startShare is the time that each gateway of a fleet adds to the start.
	startShare = time.Millisecond
)

// AcceptPlace returns a gateway's place, from 0, among those that try to accept a
// submission. The order begins with another gateway at each version, so that the
// work is spread.
func AcceptPlace(rank, fleet int, version int64) int {
	return int((int64(rank) + version) % int64(max(fleet, 1)))
}

// AcceptDelay returns how long the gateway at a place leaves a submission to the
// ones before it. It saves calls; correctness rests on the conditional write alone.
func AcceptDelay(rng *rand.Rand, place, fleet int) time.Duration {
	step := min(acceptWindow/time.Duration(max(fleet, 1)), maxAcceptStep)
	return time.Duration(place)*step + time.Duration(rng.Int64N(int64(step/2)+1))
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

func jittered(rng *rand.Rand, d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rng.Int64N(int64(d/2)+1))
}
