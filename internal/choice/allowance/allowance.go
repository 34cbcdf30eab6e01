// Package allowance divides the quotas of customers among the gateways.
//
// Each gateway has an equal share of every quota, and brings it to one granter for each
// slot of customers, chosen by rendezvous hashing. The granter pools the shares of its
// members and gives tokens to the members that ask. The sum of all pools is therefore the
// quota, whichever gateways reach each other. A gateway that no granter serves is alone: it
// admits at random with the probability that its share has earned.
//
//   - Fleet decides which gateway grants each slot, and how many shares there are.
//   - Pool is the state of a granter.
//   - Account holds the tokens that a gateway was granted.
//   - Desk combines them, and decides what to send to whom.
//
// All are deterministic state machines: time and random numbers are arguments. The caller
// must serialize access to them.
//
// # Usage
//
//	d := allowance.NewDesk(now, "gateway-1")
//	d.SetGateways(now, gateways)
//	d.Begin(now, customer)
//	if grant, decided := d.Take(now, customer, rng.Float64()); decided {
//		return grant
//	}
//	... // send what Next returns, pass the reply to Receive, and take again
package allowance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardsaddle.example/mustardsaddle"
)

const (
	// Slots is the number of slots into which customers are divided.
	Slots = 4
	// AllSlots is the Mask of all slots.
	AllSlots = Mask(1<<Slots - 1)
	// TokenLife is the time for which granted tokens can be used, from when they were asked
	// for.
	TokenLife = 250 * time.Millisecond
	// minMemberLife is the time for which a member's share counts at a granter that does not
	// hear from it, and minRenewal the time after which a member that has nothing to ask renews
	// its membership. With many gateways both are longer, by lifePerGateway and
	// renewalPerGateway, so that a granter hears a bounded number of members per second.
	minMemberLife     = 800 * time.Millisecond
	minRenewal        = 350 * time.Millisecond
	lifePerGateway    = 4500 * time.Microsecond
	renewalPerGateway = 2 * time.Millisecond
	// maxRate is the highest rate and burst that a peer may state.
	maxRate = 1e9
	// maxNameBytes is the longest name of a customer or gateway in a message.
	maxNameBytes = 1024
	// maxCount is the highest number of tokens or calls in one request.
	maxCount = 1 << 20
)

const (
	// window is the time over which a quota is checked, and overrun and slack are what may be
	// sent beyond it.
	window  = 5 * time.Second
	overrun = 1.1
	slack   = 20
	// deviations is the number of standard deviations of random admission that have to fit
	// below the bound.
	deviations = 4.5
	// minEqualRate is the rate from which a quota is large enough for equal shares, and
	// equalPart is the part of it that is divided equally.
	minEqualRate = 2500
	equalPart    = 0.8
)

// Mask is a set of slots.
type Mask uint8

// Has reports whether the mask contains a slot.
func (m Mask) Has(slot int) bool {
	return m&(1<<slot) != 0
}

// SlotOf returns the slot of a customer.
func SlotOf(customer string) int {
	return int(xxhash.Sum64String(customer) % Slots)
}

// memberLife returns the time for which a member's share counts among known gateways.
func memberLife(known int) time.Duration {
	return max(minMemberLife, time.Duration(known)*lifePerGateway)
}

// renewal returns the time after which a member renews its membership.
func renewal(known int) time.Duration {
	return max(minRenewal, time.Duration(known)*renewalPerGateway)
}

// validRequest reports whether a granter can use a request.
func validRequest(r mustardsaddle.QuotaRequest) bool {
	inRange := func(v float64) bool { return v >= 0 && v <= maxRate } // false for NaN
	return r.Customer != "" && len(r.Customer) <= maxNameBytes && r.Rate > 0 && inRange(r.Rate) && inRange(r.Burst) &&
		min(r.Want, r.Returned, r.Calls, r.Refused) >= 0 && max(r.Want, r.Returned, r.Calls, r.Refused) <= maxCount
}

// validAnswer reports whether a gateway can use the answer to a request.
func validAnswer(a mustardsaddle.QuotaAnswer, want int) bool {
	return a.Granted >= 0 && a.Granted <= want && a.Wait >= 0 && a.Usage >= 0 && a.Usage <= maxRate*maxCount
}

// pooled returns the rate and the burst of the part of a quota that is pooled.
func pooled(c mustardsaddle.Customer) (rate, burst float64) {
	if c.Rate < minEqualRate {
		return c.Rate, c.Burst
	}
	return c.Rate * (1 - equalPart), c.Burst * (1 - equalPart)
}

// chanceLimits returns the rate, and the most that may be saved, at which all gateways
// together admit at random: the number of requests in any window then stays within the
// bound although it varies.
func chanceLimits(rate, burst float64) (perSecond, saved float64) {
	bound := (rate*window.Seconds()+burst)*overrun + slack
	root := (math.Sqrt(deviations*deviations+4*bound) - deviations) / 2
	mean := root * root
	perSecond = min(rate, mean/(window.Seconds()+1))
	return perSecond, mean - perSecond*window.Seconds()
}
