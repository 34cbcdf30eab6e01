package refusal

import (
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

const (
	// lineInterval is the least time between two log lines about refusals that are alike.
	lineInterval = time.Second
	// maxKinds bounds the kinds of refusals that Lines distinguishes.
	maxKinds = 1024
)

// kind identifies refusals that are alike.
type kind struct {
	code     code.Code
	customer string
}

// kindState is what Lines knows about one kind.
type kindState struct {
	loggedAt time.Time
	omitted  int
}

// Lines decides which refusals of a kind that may be repeated without limit get a log line:
// the first one of a code and customer, and then one in each lineInterval. The zero value is
// ready for use. It is not safe for concurrent use.
type Lines struct {
	kinds map[kind]kindState
}

// Allow reports whether a refusal gets a log line, and how many that are alike got none
// since the line before.
func (l *Lines) Allow(now time.Time, c code.Code, customer string) (omitted int, ok bool) {
	k := kind{code: c, customer: customer}
	state, known := l.kinds[k]
	if known && now.Sub(state.loggedAt) < lineInterval {
		state.omitted++
		l.kinds[k] = state
		return 0, false
	}
	if l.kinds == nil || !known && len(l.kinds) >= maxKinds {
		l.kinds = make(map[kind]kindState)
	}
	l.kinds[k] = kindState{loggedAt: now}
	return state.omitted, true
}
