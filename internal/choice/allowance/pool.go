package allowance

import (
	"math"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

const (
	// minMembers is the part of the known gateways that must be members of a pool that grants:
	// one in minMembers.
	minMembers = 8
	// maxMembers and maxBuckets bound the state of a pool.
	maxMembers = 4096
	maxBuckets = 4096
	// burstPart is the part of a burst that a pool saves. The rest is for changes of the
	// granter, when the shares of some members count twice until the other membership ends.
	burstPart = 0.8
	// spareBurst is added, so that the usual variation of small quotas is not refused, and
	// startTokens is what a new pool begins with. Both are part of slack.
	spareBurst  = 8
	startTokens = 4
	// countInterval is the time for which the number of members is not counted again.
	countInterval = 50 * time.Millisecond
	// usageTime is the time constant of the recent rate of a customer.
	usageTime = 2 * time.Second
	// limitedFor is the time from its last refusal for which a customer counts as limited.
	limitedFor = 5 * time.Second
)

// Pool holds the shares of quotas that this gateway grants to its members.
type Pool struct {
	// known is the number of gateways that this one knows.
	known   int
	slots   [Slots]slotPool
	buckets map[string]*bucket
}

// slotPool holds the members of one slot.
type slotPool struct {
	members map[string]member
	// at is when the slot was last advanced, and countedAt when its members were counted; zero
	// if they have to be counted anew.
	at, countedAt time.Time
	// share is the part of the quotas that the members have brought, and able is whether they
	// are enough to grant.
	share float64
	able  bool
	// earned is the time for which the slot has been able to grant, weighted with its share.
	// It was base when the slot became able for the last time, the number of which is period.
	earned, base float64
	period       int
}

// member is a gateway that has brought its share.
type member struct {
	heard time.Time
	known int
}

// bucket holds the tokens of one customer.
type bucket struct {
	rate, burst, tokens float64
	// earned and period are those of the slot up to which the bucket is filled.
	earned           float64
	period           int
	perSecond        float64
	updated          time.Time
	granted, refused int64
	refusedAt, since time.Time
	limited          bool
}

// NewPool returns a Pool without members.
func NewPool() *Pool {
	p := &Pool{known: 1, buckets: make(map[string]*bucket)}
	for slot := range p.slots {
		p.slots[slot].members = make(map[string]member)
	}
	return p
}

// Advance ends the memberships of gateways that were not heard from. It has to be called
// several times in the life of a membership, with the number of gateways that this one knows.
func (p *Pool) Advance(now time.Time, known int) {
	p.known = known
	for slot := range p.slots {
		p.slots[slot].advance(now, known)
	}
}

// Join records that a gateway is a member of the slots in the mask, and of no other slots.
// The gateway knows the given number of gateways.
func (p *Pool) Join(now time.Time, gateway string, known int, mask Mask) {
	for slot := range p.slots {
		s := &p.slots[slot]
		s.advance(now, p.known)
		m, is := s.members[gateway]
		switch {
		case !mask.Has(slot):
			delete(s.members, gateway)
			s.recount(is)
		case is || len(s.members) < maxMembers:
			s.members[gateway] = member{heard: now, known: known}
			s.recount(!is || m.known != known)
		}
	}
}

// Leave ends all memberships of a gateway.
func (p *Pool) Leave(now time.Time, gateway string) {
	p.Join(now, gateway, 0, 0)
}

// advance adds what the slot has earned since the last call, and counts its members anew
// if that is due. After a long time without a call, such as a freeze, the members count for
// a life at most.
func (s *slotPool) advance(now time.Time, known int) {
	elapsed := max(0, now.Sub(s.at))
	if s.able {
		s.earned += min(elapsed, memberLife(known)).Seconds() * s.share
	}
	s.at = now
	if age := now.Sub(s.countedAt); age < 0 || age > countInterval {
		s.countedAt = now
		s.count(now, known)
	}
}

// recount causes the members to be counted anew if they have changed.
func (s *slotPool) recount(changed bool) {
	if changed {
		s.countedAt = time.Time{}
	}
}

// count sets the share of the slot from its members.
func (s *slotPool) count(now time.Time, known int) {
	known = max(known, 1)
	life := memberLife(known)
	for name, m := range s.members {
		if now.Sub(m.heard) > life {
			delete(s.members, name)
			continue
		}
		known = max(known, m.known)
	}
	able := len(s.members)*minMembers >= known
	if able && !s.able {
		s.period++
		s.base = s.earned
	}
	s.able, s.share = able, min(1, float64(len(s.members))/float64(known))
}

// Ask decides on a request of a member.
func (p *Pool) Ask(now time.Time, r mustardsaddle.QuotaRequest) mustardsaddle.QuotaAnswer {
	s := &p.slots[SlotOf(r.Customer)]
	s.advance(now, p.known)
	if !s.able {
		return mustardsaddle.QuotaAnswer{Unable: true}
	}
	b := p.bucket(now, r.Customer)
	if b == nil {
		return mustardsaddle.QuotaAnswer{Unable: true}
	}
	b.update(now, s, r)
	answer := mustardsaddle.QuotaAnswer{Usage: b.perSecond / r.Rate}
	if r.Want == 0 {
		return answer
	}
	answer.Granted = min(r.Want, int(b.tokens))
	b.tokens -= float64(answer.Granted)
	b.granted += int64(answer.Granted)
	if answer.Granted < r.Want {
		b.refusedAt = now
		answer.Wait = seconds((1 - b.tokens) / (r.Rate * s.share))
	}
	return answer
}

// bucket returns the bucket of a customer, or nil if there are too many.
func (p *Pool) bucket(now time.Time, name string) *bucket {
	if b := p.buckets[name]; b != nil {
		return b
	}
	if len(p.buckets) >= maxBuckets {
		p.dropIdle(now)
	}
	if len(p.buckets) >= maxBuckets {
		return nil
	}
	b := &bucket{updated: now}
	p.buckets[name] = b
	return b
}

// dropIdle removes the buckets that nobody has asked for so long that a new one would be
// the same.
func (p *Pool) dropIdle(now time.Time) {
	for name, b := range p.buckets {
		if now.Sub(b.updated) > time.Minute && !b.limited {
			delete(p.buckets, name)
		}
	}
}

// update adds the tokens that the slot has earned, and those that the member returns, and
// applies the request's quota and counts. A bucket that is new, or from before the slot was
// last unable to grant, holds what was earned since the slot became able.
func (b *bucket) update(now time.Time, s *slotPool, r mustardsaddle.QuotaRequest) {
	if b.period != s.period {
		b.period, b.earned, b.tokens = s.period, s.base, startTokens*s.share
	}
	b.rate, b.burst = r.Rate, r.Burst
	b.tokens += (s.earned-b.earned)*b.rate + float64(r.Returned)
	b.tokens = min(b.tokens, max(1, (b.burst*burstPart+spareBurst)*s.share))
	b.earned = s.earned
	decay := math.Exp(-max(0, now.Sub(b.updated).Seconds()) / usageTime.Seconds())
	b.perSecond = b.perSecond*decay + float64(r.Calls)/usageTime.Seconds()
	b.updated = now
	b.refused += int64(r.Refused)
}

// seconds converts a number of seconds to a duration of at most a minute.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, 60) * float64(time.Second))
}
