package mustardsaddle

import (
	"context"
	"time"
)

// Customer is a customer whose callers share one quota and one priority, whichever gateways
// they call. A Customer is immutable.
type Customer struct {
	// Name identifies the customer. Endpoint servers are told this name.
	Name string
	// Priority replaces the priority of the rule if PrioritySet is true; 0 is the highest.
	Priority    int
	PrioritySet bool
	// Rate is the number of requests per second that all gateways together send for the
	// customer, on top of a burst of Burst requests. A Rate of 0 means no limit.
	Rate, Burst float64
}

// Limited reports whether the customer has a quota.
func (c Customer) Limited() bool {
	return c.Rate > 0
}

// Grant is the decision on one request of a customer.
type Grant struct {
	// Allowed is true if the request may be sent.
	Allowed bool
	// RetryAfter is the time until the quota has room for the request, if it is not allowed.
	RetryAfter time.Duration
	// Usage is the recent rate of the customer's requests over all gateways as a multiple of
	// its Rate; 0 if unknown. Calls of customers with a lower usage come first while there
	// is too little capacity for all.
	Usage float64
}

// CustomerQuota divides the quotas of customers among the gateways. It is safe for
// concurrent use.
type CustomerQuota interface {
	// Acquire takes one request from the quota of a customer. It waits for another gateway
	// only for a short bounded time, and not beyond the end of ctx.
	Acquire(ctx context.Context, now time.Time, customer Customer) Grant
	// Release returns one request that Acquire allowed and that no server ran.
	Release(now time.Time, customer Customer)
}
