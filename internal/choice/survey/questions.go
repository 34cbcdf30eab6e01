package survey

import (
	"time"

	"golang.org/x/time/rate"
)

// AnswerPatience is how long a call waits for the answers of the servers that were
// asked for their load.
const AnswerPatience = 15 * time.Millisecond

const (
	// questionShare is the part of the questions that running gateways plan to ask.
	questionShare = 0.85
	// questionBurst is the time for which unspent questions are kept.
	questionBurst = 2 * time.Second
	// questionCalls is how many calls the unspent questions are to last for.
	questionCalls = 2
	// minQuestions is how many servers a call asks when questions are short: the
	// better of two is far better than any one.
	minQuestions = 2
)

// Questions bounds what one gateway asks the servers of a service, over time. It
// performs no I/O and is not safe for concurrent use.
type Questions struct {
	limiter *rate.Limiter
	most    int
}

// NewQuestions returns bounds by which a call may ask the given number of servers
// at most, and which permit nothing yet.
func NewQuestions(most int) *Questions {
	return &Questions{limiter: rate.NewLimiter(0, 0), most: most}
}

// Rate returns one gateway's part, in questions a second, of what each server may get
// from all gateways together.
func Rate(perServer float64, servers, gateways int) float64 {
	return questionShare * perServer * float64(servers) / float64(gateways)
}

// SetRate changes the rate of questions, in questions a second.
func (q *Questions) SetRate(now time.Time, perSecond float64) {
	q.limiter.SetLimitAt(now, rate.Limit(perSecond))
	q.limiter.SetBurstAt(now, max(int(perSecond*questionBurst.Seconds()), q.most))
}

// Next returns how many servers the next call may ask: fewer when questions run
// short, so that the calls after it can ask some too.
func (q *Questions) Next(now time.Time) int {
	part := int(q.limiter.TokensAt(now) / questionCalls)
	return min(max(part, minQuestions), q.most)
}

// Take spends one question, or returns false.
func (q *Questions) Take(now time.Time) bool {
	return q.limiter.AllowN(now, 1)
}
