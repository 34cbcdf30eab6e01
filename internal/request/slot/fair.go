package slot

import (
	"math"
	"slices"
	"time"
)

const (
	// usageStep is the difference of usage below which two customers count as equal, since
	// the usage is an estimate.
	usageStep = 0.25
	// unlimitedUsage is the usage of a customer without a quota, and of anonymous calls:
	// behind customers that are below their rate, and ahead of those that are above it.
	unlimitedUsage = 1
	// maxUsage bounds the usage that is distinguished.
	maxUsage = 1000
	// serviceMemory is the time constant with which the recent service of a customer decays.
	serviceMemory = 5 * time.Second
	// starvedFactor is the number of calls of a customer that may be refused for each one
	// served, as a multiple of that number for all customers, before it counts as starved.
	starvedFactor = 3
	// maxPassed is the number of calls refused in a row from which a customer counts as starved
	// in any case.
	maxPassed = 256
	// servedWeight is the weight of a new sample in the moving averages.
	servedWeight = 1.0 / 32
	// maxCustomers bounds the customers that are remembered.
	maxCustomers = 4096
	// returnDivisor limits the time after which a refused caller is to return to
	// 1/returnDivisor of the time to its deadline, so that it can still be served.
	returnDivisor = 2
)

// Share describes the customer of a call.
type Share struct {
	// Customer is the name of the customer; all anonymous calls have the empty one.
	Customer string
	// Limited is true if the customer has a quota. Usage is its recent rate over all
	// gateways as a multiple of its quota, and Weight its part of the service relative to
	// those of others.
	Limited       bool
	Usage, Weight float64
}

// step returns the usage in steps that count as different.
func (s Share) step() float64 {
	if !s.Limited {
		return math.Floor(unlimitedUsage / usageStep)
	}
	return math.Floor(min(s.Usage, maxUsage) / usageStep)
}

// service is what a Queue remembers about one customer.
type service struct {
	// served is the number of its calls that were served, decayed since at.
	served float64
	at     time.Time
	// passed is the number of its calls that were refused since one was served.
	passed int
}

// recent returns the number of calls that were served recently.
func (s *service) recent(now time.Time) float64 {
	if s.served == 0 {
		return 0
	}
	return s.served * math.Exp(-now.Sub(s.at).Seconds()/serviceMemory.Seconds())
}

// due returns the time by which the call should be answered.
func (e Entry) due() time.Time {
	if e.Target.IsZero() {
		return e.Deadline
	}
	return e.Target
}

// fairness decides between the calls of different customers.
type fairness struct {
	customers map[string]*service
	// refusedShare is the moving average of the share of calls that are refused.
	refusedShare float64
	// meanWeight is the moving average of the weights of customers with a quota.
	meanWeight float64
	// returnAt is the time at which the caller that was refused last is to return.
	returnAt time.Time
}

// service returns what is remembered about a customer.
func (f *fairness) service(customer string) *service {
	s := f.customers[customer]
	if s != nil {
		return s
	}
	if f.customers == nil || len(f.customers) >= maxCustomers {
		f.customers = make(map[string]*service)
	}
	s = &service{}
	f.customers[customer] = s
	return s
}

// precedes reports whether a is served before b, which arrived earlier.
func (f *fairness) precedes(now time.Time, a, b queuedEntry) bool {
	if starved := f.starved(a.service); starved != f.starved(b.service) {
		return starved
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if x, y := a.Share.step(), b.Share.step(); x != y {
		return x < y
	}
	if a.service == b.service {
		return a.due().Before(b.due())
	}
	return a.service.recent(now)/f.weight(a.Share) < b.service.recent(now)/f.weight(b.Share)
}

// recordWeight records the weight of a customer that joins the queue.
func (f *fairness) recordWeight(s *Share) {
	switch {
	case !s.Limited || s.Weight <= 0:
	case f.meanWeight == 0:
		f.meanWeight = s.Weight
	default:
		f.meanWeight += (s.Weight - f.meanWeight) * servedWeight
	}
}

// weight returns the weight of a customer. One without a quota weighs as much as others on
// average.
func (f *fairness) weight(s *Share) float64 {
	switch {
	case s.Limited && s.Weight > 0:
		return s.Weight
	case f.meanWeight > 0:
		return f.meanWeight
	default:
		return 1
	}
}

// starved reports whether so many calls of a customer were refused since one was served that
// the next one goes first.
func (f *fairness) starved(s *service) bool {
	return s.passed >= starvedFactor && float64(s.passed)*(1-f.refusedShare) >= starvedFactor || s.passed >= maxPassed
}

// recordServed records that a call of a customer gets a server.
func (f *fairness) recordServed(now time.Time, s *service) {
	s.served, s.at, s.passed = s.recent(now)+1, now, 0
	f.refusedShare -= f.refusedShare * servedWeight
}

// recordRefused records that a call of a customer was refused.
func (f *fairness) recordRefused(s *service) {
	s.passed++
	f.refusedShare += (1 - f.refusedShare) * servedWeight
}

// joinFair queues the call of a customer. If the queue is full, or the last call in the order
// of service would be served too late, that call is refused in its place.
func (q *Queue) joinFair(now time.Time, e queuedEntry) JoinResult {
	q.fair.recordWeight(e.Share)
	servedAt := now.Add(q.releaseInterval * time.Duration(q.ahead(now, e)+1))
	if !now.Before(e.expiresAt) || servedAt.After(e.expiresAt) {
		q.fair.recordRefused(e.service)
		return JoinResult{RetryAfter: q.ReturnAfter(now, e.Deadline)}
	}
	q.waiting = append(q.waiting, e)
	last := q.last(now)
	refused := q.waiting[last]
	servedAt = now.Add(q.releaseInterval * time.Duration(len(q.waiting)))
	if len(q.waiting) <= q.cfg.MaxQueued && !servedAt.After(refused.expiresAt) {
		return JoinResult{Queued: true, ExpiresAt: e.expiresAt}
	}
	q.waiting = slices.Delete(q.waiting, last, last+1)
	if refused.service != nil {
		q.fair.recordRefused(refused.service)
	}
	if refused.ID == e.ID {
		return JoinResult{RetryAfter: q.ReturnAfter(now, e.Deadline)}
	}
	return JoinResult{Queued: true, ExpiresAt: e.expiresAt, Displaced: true, DisplacedID: refused.ID}
}

// ahead returns the number of queued calls that are served before e.
func (q *Queue) ahead(now time.Time, e queuedEntry) int {
	n := 0
	for _, w := range q.waiting {
		if !q.precedes(now, e, w) {
			n++
		}
	}
	return n
}

// last returns the index of the call that is served last. The queue is not empty.
func (q *Queue) last(now time.Time) int {
	last := 0
	for i, w := range q.waiting {
		if i > 0 && !q.precedes(now, w, q.waiting[last]) {
			last = i
		}
	}
	return last
}

// ReturnAfter returns the Retry-After delay of a refused call of a customer. Callers that are
// refused one after another return one after another, at the rate of service, and in time
// before their deadlines.
func (q *Queue) ReturnAfter(now, deadline time.Time) time.Duration {
	first := q.RetryAfter()
	latest := max(deadline.Sub(now)/returnDivisor, first)
	next := max(q.fair.returnAt.Add(q.releaseInterval).Sub(now), first)
	if next > latest {
		next = first
	}
	q.fair.returnAt = now.Add(next)
	return next
}
