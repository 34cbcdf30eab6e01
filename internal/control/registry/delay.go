package registry

import (
	"math/rand/v2"
	"time"
)

const (
	// acceptWindow is the time over which the attempts of all gateways of a fleet to
	// accept a submission are distributed.
	acceptWindow = time.Second
	// maxAcceptInterval is the time between two attempts in a small fleet.
	maxAcceptInterval = 100 * time.Millisecond
	// pollIntervalPerGateway is how much each gateway of the fleet adds to the
	// interval of slow polls: a large fleet makes 200 polls per second in total.
	pollIntervalPerGateway = 5 * time.Millisecond
	// startSpreadPerGateway is how much each gateway of the fleet adds to the period
	// over which the first reads are distributed.
	startSpreadPerGateway = time.Millisecond
)

// AcceptPosition returns a gateway's position, from 0, in the order in which gateways
// try to accept a submission. The order starts with a different gateway for each
// version, which distributes the load.
func AcceptPosition(rank, fleet int, version int64) int {
	return int((int64(rank) + version) % int64(max(fleet, 1)))
}

// AcceptDelay returns how long a gateway waits before it tries to accept a submission,
// so that the gateways at earlier positions can do so first. The delay saves calls;
// correctness depends only on the conditional write.
func AcceptDelay(rng *rand.Rand, position, fleet int) time.Duration {
	step := min(acceptWindow/time.Duration(max(fleet, 1)), maxAcceptInterval)
	return time.Duration(position)*step + time.Duration(rng.Int64N(int64(step/2)+1))
}

// PollDelay returns the time to the next slow poll: the base interval, or a longer one
// in a large fleet, with a jitter of a quarter.
func PollDelay(rng *rand.Rand, base time.Duration, fleet int) time.Duration {
	return jittered(rng, max(base, time.Duration(fleet)*pollIntervalPerGateway))
}

// StartDelay returns the random delay before the first read, which distributes the
// reads of a fleet whose gateways start at the same time.
func StartDelay(rng *rand.Rand, fleet int) time.Duration {
	return time.Duration(rng.Int64N(int64(time.Duration(max(fleet, 1)) * startSpreadPerGateway)))
}

func jittered(rng *rand.Rand, d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rng.Int64N(int64(d/2)+1))
}
