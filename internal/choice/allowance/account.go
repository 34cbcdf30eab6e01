package allowance

import (
	"math"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Verdict -output=verdict_string.go

// Verdict is what an Account says about one request.
type Verdict int

const (
	// Ask means that the granter has to be asked.
	Ask Verdict = iota
	// Allowed means that a token was taken.
	Allowed
	// Refused means that the granter had no token a short time ago.
	Refused
)

const (
	// batchTime is the time over which the demand is asked for at once.
	batchTime = 200 * time.Millisecond
	// holdPerGateway and maxHold bound how soon a gateway asks again after a refusal, so that a
	// granter hears a bounded number of them per second.
	holdPerGateway = 2500 * time.Microsecond
	maxHold        = 500 * time.Millisecond
	// maxAloneWait bounds the wait that a lone gateway states, since others may serve the call.
	maxAloneWait = time.Second
	// demandTime is the time constant of the estimated demand.
	demandTime = time.Second
	// maxCustomers bounds the state, and idleFor is when a customer may be forgotten.
	maxCustomers = 4096
	idleFor      = 10 * time.Second
)

// Account holds the tokens of one gateway.
type Account struct {
	customers map[string]*customer
}

// customer is the state of one customer at this gateway.
type customer struct {
	// tokens can be used until expires.
	tokens  int
	expires time.Time
	// holdUntil is when the granter may be asked again, and roomAt when it has a token.
	holdUntil, roomAt time.Time
	usage             float64
	// equal holds the tokens of the equal share.
	equal   float64
	equalAt time.Time
	// calls, refused and returned are for the next request.
	calls, refused, returned int
	demand                   float64
	seen                     time.Time
	// earnedAt is when a chance was last drawn while no granter served this gateway.
	earnedAt time.Time
	// part is the part of the rate that the granters pool. They compare all calls with it.
	part float64
	// taken counts the tokens taken in the current and the previous period.
	taken      [2]int
	takenSince time.Time
}

// NewAccount returns an Account without tokens.
func NewAccount() *Account {
	return &Account{customers: make(map[string]*customer)}
}

// state returns the state of a customer.
func (a *Account) state(now time.Time, name string) *customer {
	if s := a.customers[name]; s != nil {
		return s
	}
	if len(a.customers) >= maxCustomers {
		for name, s := range a.customers {
			if now.Sub(s.seen) > idleFor {
				delete(a.customers, name)
			}
		}
	}
	s := &customer{seen: now, equalAt: now}
	if len(a.customers) < maxCustomers {
		a.customers[name] = s
	}
	return s
}

// Count records a call of a customer. It must be called once for each call, before Take.
func (a *Account) Count(now time.Time, c mustardsaddle.Customer) {
	s := a.state(now, c.Name)
	decay := math.Exp(-max(0, now.Sub(s.seen).Seconds()) / demandTime.Seconds())
	s.demand = s.demand*decay + 1/demandTime.Seconds()
	s.seen = now
	s.calls++
}

// Take takes a token of a customer, if this gateway has one. There are known gateways.
func (a *Account) Take(now time.Time, c mustardsaddle.Customer, known int) Verdict {
	s := a.state(now, c.Name)
	if s.tokens > 0 && !now.Before(s.expires) {
		s.returned, s.tokens = s.returned+s.tokens, 0
	}
	switch {
	case s.takeEqual(now, c, known):
		return Allowed
	case s.tokens > 0:
		s.tokens--
		s.countTaken(now)
		return Allowed
	case now.Before(s.holdUntil):
		return Refused
	default:
		return Ask
	}
}

// takeEqual takes a token of the equal share, which only large quotas have.
func (s *customer) takeEqual(now time.Time, c mustardsaddle.Customer, known int) bool {
	if c.Rate < minEqualRate {
		return false
	}
	part := equalPart / float64(max(1, known))
	s.equal = min(c.Burst*part, s.equal+max(0, now.Sub(s.equalAt).Seconds())*c.Rate*part)
	s.equalAt = now
	if s.equal < 1 {
		return false
	}
	s.equal--
	return true
}

// Grant returns the result for a caller after a Verdict other than Ask, and counts a
// refusal.
func (a *Account) Grant(now time.Time, name string, v Verdict) mustardsaddle.Grant {
	s := a.state(now, name)
	if v == Allowed {
		return mustardsaddle.Grant{Allowed: true, Usage: s.usage}
	}
	s.refused++
	return mustardsaddle.Grant{RetryAfter: max(s.roomAt.Sub(now), s.holdUntil.Sub(now), TokenLife), Usage: s.usage}
}

// Request returns what to ask the granter for: a token for each waiting call, or more if
// the demand is higher. The counts begin again.
func (a *Account) Request(now time.Time, c mustardsaddle.Customer, waiting int) mustardsaddle.QuotaRequest {
	s := a.state(now, c.Name)
	want := max(waiting, int(s.demand*batchTime.Seconds()))
	rate, burst := pooled(c)
	s.part = rate / c.Rate
	r := mustardsaddle.QuotaRequest{
		Customer: c.Name, Rate: min(rate, maxRate), Burst: min(burst, maxRate), Want: min(want, maxCount),
		Returned: min(s.returned, maxCount), Calls: min(s.calls, maxCount), Refused: min(s.refused, maxCount),
	}
	s.calls, s.refused, s.returned = 0, 0, 0
	return r
}

// Settle records the answer to a request that was made at sentAt. There are known gateways.
func (a *Account) Settle(now, sentAt time.Time, r mustardsaddle.QuotaRequest, answer mustardsaddle.QuotaAnswer, known int) {
	s := a.state(now, r.Customer)
	s.usage = answer.Usage * s.part
	if answer.Unable {
		return
	}
	if answer.Granted > 0 {
		s.tokens += answer.Granted
		s.expires = sentAt.Add(TokenLife)
	}
	if answer.Granted < r.Want {
		hold := min(time.Duration(known)*holdPerGateway, maxHold)
		s.roomAt = now.Add(answer.Wait)
		s.holdUntil = now.Add(min(max(answer.Wait, hold), maxHold))
	}
}

// Chance admits a call at random while no granter has served this gateway since the given
// time. The random number is in [0, 1).
func (a *Account) Chance(now, since time.Time, c mustardsaddle.Customer, known int, random float64) Verdict {
	s := a.state(now, c.Name)
	if s.earnedAt.Before(since) {
		s.earnedAt = since
	}
	perSecond, saved := chanceLimits(pooled(c))
	n := float64(max(1, known))
	earned := min(max(0, now.Sub(s.earnedAt).Seconds())*perSecond, saved) / n
	if earned >= 1 {
		s.earnedAt = now.Add(-seconds((earned - 1) * n / perSecond))
		return Allowed
	}
	s.earnedAt = now
	if random < earned {
		return Allowed
	}
	s.roomAt = now.Add(min(seconds(n/perSecond), maxAloneWait))
	return Refused
}

// countTaken counts a token that was taken now.
func (s *customer) countTaken(now time.Time) {
	s.turnPeriod(now)
	s.taken[0]++
}

func (s *customer) turnPeriod(now time.Time) {
	if age := now.Sub(s.takenSince); age >= TokenLife/2 {
		s.taken = [2]int{0, s.taken[0]}
		if age >= TokenLife {
			s.taken[1] = 0
		}
		s.takenSince = now
	}
}

// Release returns a token that no server has used. It is lost unless it was taken a short
// time ago, since it counts in a later window otherwise.
func (a *Account) Release(now time.Time, name string) {
	s := a.state(now, name)
	s.turnPeriod(now)
	for i := range s.taken {
		if s.taken[i] > 0 {
			s.taken[i]--
			if s.tokens == 0 {
				s.expires = now.Add(TokenLife / 2)
			}
			s.tokens++
			return
		}
	}
}
