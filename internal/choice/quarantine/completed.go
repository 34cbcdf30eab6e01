package quarantine

import (
	"time"

	"mustardsaddle.example/mustardsaddle"
)

const (
	// completedWindow is the least time for which completed runs are remembered.
	completedWindow = 10 * time.Second
	// completedPerCrash is the number of completed runs for each crash with which a request
	// that is in flight at nearly every crash stays free of suspicion.
	completedPerCrash = 10
	// maxCompleted bounds the requests whose completed runs are counted in one window.
	maxCompleted = 4096
)

// runCounts counts the runs of one request.
type runCounts struct {
	completed, crashed int
}

// completions counts the completed runs of requests in the present window and the one
// before it.
type completions struct {
	since             time.Time
	current, previous map[mustardsaddle.RequestDigest]runCounts
}

func newCompletions() completions {
	return completions{current: make(map[mustardsaddle.RequestDigest]runCounts)}
}

// rotate begins a new window if the present one is over.
func (c *completions) rotate(now time.Time) {
	elapsed := now.Sub(c.since)
	if elapsed < completedWindow {
		return
	}
	c.previous = c.current
	if elapsed >= 2*completedWindow {
		c.previous = nil
	}
	c.current, c.since = make(map[mustardsaddle.RequestDigest]runCounts), now
}

// add counts a completed or a crashed run.
func (c *completions) add(now time.Time, digest mustardsaddle.RequestDigest, completed, crashed int) {
	c.rotate(now)
	n, known := c.current[digest]
	if !known && len(c.current) >= maxCompleted {
		return
	}
	n.completed += completed
	n.crashed += crashed
	c.current[digest] = n
}

// clear reports whether so many runs of a request completed that crashes do not make it
// suspect.
func (c *completions) clear(now time.Time, digest mustardsaddle.RequestDigest) bool {
	c.rotate(now)
	current, previous := c.current[digest], c.previous[digest]
	crashed := current.crashed + previous.crashed
	return current.completed+previous.completed >= completedPerCrash*max(crashed, 1)
}
