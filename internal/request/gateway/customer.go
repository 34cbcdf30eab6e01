package gateway

import (
	"net/http"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/request/forward"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
	"mustardsaddle.example/mustardsaddle/internal/request/refusal"
	"mustardsaddle.example/mustardsaddle/internal/request/slot"
)

const (
	// defaultMaxRulesAge is the default of Config.MaxRulesAge. The rules of a gateway that
	// hears of each change are always younger.
	defaultMaxRulesAge = 2 * time.Second
	// behindRetryAfter is the least Retry-After of a call whose key may be in newer rules.
	behindRetryAfter = 250 * time.Millisecond
)

// customerHeaders are the names of the headers about customers, in canonical form.
type customerHeaders struct {
	key, customer string
}

func newCustomerHeaders(h *mustardsaddle.Headers) customerHeaders {
	return customerHeaders{key: http.CanonicalHeaderKey(h.Key), customer: http.CanonicalHeaderKey(h.Customer)}
}

// identification says for which customer a call is made.
type identification struct {
	// keyed is true if the rules declare customers, so that the headers about customers are
	// the gateway's own.
	keyed bool
	// customer is nil if the rules declare none, or if the call is anonymous.
	customer *mustardsaddle.Customer
	// counted is true if another gateway has taken the call from the customer's quota.
	counted bool
	// usage is Grant.Usage of the call.
	usage float64
}

// name returns the name of the customer; empty if there is none.
func (i identification) name() string {
	if i.customer == nil {
		return ""
	}
	return i.customer.Name
}

// priority returns the priority of the call: that of its customer, or else of its rule.
func (m matchResult) priority() int {
	if m.customer != nil && m.customer.PrioritySet {
		return m.customer.Priority
	}
	return m.rule.Priority
}

// share describes the customer of the call for the queue; an anonymous call has an empty
// description.
func (i identification) share() *slot.Share {
	if i.customer == nil {
		return &slot.Share{}
	}
	return &slot.Share{Customer: i.customer.Name, Limited: i.customer.Limited(), Usage: i.usage, Weight: i.customer.Rate}
}

// identify finds the customer of a request. It refuses a request without the key of a
// customer, unless its rule permits anonymous ones.
func (g *Gateway) identify(table *rule.Table, found rule.Rule, r *http.Request, carried *forward.Call) (identification, *refusal.Refusal) {
	if !table.HasCustomers() {
		return identification{}, nil
	}
	id := identification{keyed: true}
	if carried != nil && carried.Customer != "" {
		id.customer, id.counted, id.usage = table.CustomerByName(carried.Customer), true, carried.Usage
	} else if keys := r.Header[g.customerHeaders.key]; len(keys) == 1 {
		id.customer = table.CustomerByKey(keys[0])
	}
	if id.customer == nil && !found.Anonymous {
		return id, g.refuseUnknownKey(time.Now())
	}
	return id, nil
}

// refuseUnknownKey returns the refusal of a request without the key of a customer. While
// newer rules may hold the key, the caller is asked to return.
func (g *Gateway) refuseUnknownKey(now time.Time) *refusal.Refusal {
	refused := refusal.NotRun(code.CallKeyUnknown)
	if g.cfg.RulesAge != nil && g.cfg.RulesAge(now) > g.cfg.MaxRulesAge {
		refused = refusal.NotRun(code.CallNotReady)
		refused.RetryAfter = g.spread(behindRetryAfter)
	}
	refused.Repetitive = true
	g.keysUnknown.Inc(1)
	return refused
}

// acquireQuota takes the call from the quota of its customer, or returns the refusal of a
// call beyond it.
func (c *call) acquireQuota() *refusal.Refusal {
	id := &c.match.identification
	quota := c.g.cfg.Quota
	if quota == nil || id.customer == nil || id.counted || !id.customer.Limited() {
		return nil
	}
	grant := quota.Acquire(c.r.Context(), time.Now(), *id.customer)
	id.usage = grant.Usage
	if !grant.Allowed {
		c.g.callsOverQuota.Inc(1)
		return &refusal.Refusal{Code: code.CallOverQuota, Outcome: mustardsaddle.NotRun, RetryAfter: grant.RetryAfter, Repetitive: true}
	}
	c.acquired = true
	return nil
}

// releaseQuota returns the call to the quota of its customer if no server ran it.
func (c *call) releaseQuota() {
	if !c.acquired {
		return
	}
	c.mu.Lock()
	outcome := c.state.Outcome()
	c.mu.Unlock()
	if outcome == mustardsaddle.NotRun {
		c.g.cfg.Quota.Release(time.Now(), *c.match.customer)
	}
}

// setCustomer names the customer of the call in the header of an outgoing request, and in
// no other way.
func (c *call) setCustomer(fields *header.Outgoing) {
	c.g.removeCustomer(c.match.identification, fields.Header)
	if name := c.g.customerHeaders.customer; c.match.customer != nil && name != "" {
		fields.Set(name, c.match.customer.Name)
	}
}

// removeCustomer removes the key from the header or the trailer of an outgoing request, and
// whatever the caller has sent as the name of the customer.
func (g *Gateway) removeCustomer(id identification, h http.Header) {
	if id.keyed {
		delete(h, g.customerHeaders.key)
		delete(h, g.customerHeaders.customer)
	}
}

// omitRefusal reports whether a refusal gets no log line because many others are alike, and
// otherwise how many of them got none before.
func (g *Gateway) omitRefusal(now time.Time, refused *refusal.Refusal) (omitted int, omit bool) {
	if !refused.Repetitive {
		return 0, false
	}
	g.refusalMu.Lock()
	defer g.refusalMu.Unlock()
	omitted, ok := g.refusalLines.Allow(now, refused.Code, refused.Customer)
	return omitted, !ok
}
