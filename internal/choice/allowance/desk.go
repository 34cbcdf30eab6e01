package allowance

import (
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

const (
	// MaxRequests is the highest number of requests in one ask.
	MaxRequests = 64
	// untriedInterval is the time between two asks of a gateway that has not granted anything
	// yet.
	untriedInterval = 100 * time.Millisecond
	// overdueAfter is the time without a reply after which a granter has failed.
	overdueAfter = 100 * time.Millisecond
	// unableFor is the time for which a granter with too few members is not asked again.
	unableFor = 100 * time.Millisecond
	// activeFor is the time for which a gateway that was not told of a quota remains a member
	// after a call or ask that has one.
	activeFor = time.Minute
	// maxKnown bounds the number of gateways that a peer may state.
	maxKnown = 4096
)

// Desk decides about the quotas of customers for one gateway.
type Desk struct {
	self    string
	fleet   *Fleet
	pool    *Pool
	account *Account
	// asking holds the customers whose granter is to be asked or is being asked.
	asking map[string]*asking
	peers  map[string]*peer
	slots  [Slots]slotState
	nextID uint64
	// limited is true if a customer has a quota.
	limited bool
	// lastUse is the time of the last call of a limited customer or ask of another gateway, and
	// lastTick that of the last tick. Nothing is overdue before graceUntil.
	lastUse, lastTick, graceUntil time.Time
	counts                        mustardsaddle.QuotaCounts
}

// slotState is how this gateway fares with the granter of a slot.
type slotState struct {
	// aloneSince is when the slot lost its granter; zero if it has one.
	aloneSince time.Time
	// unableUntil is when the granter may be asked again.
	unableUntil time.Time
}

// asking is an ask for one customer.
type asking struct {
	customer mustardsaddle.Customer
	granter  string
	waiting  int
	since    time.Time
}

// peer is the state of the connection to another gateway.
type peer struct {
	// pending holds the customers of the next ask.
	pending  []string
	sent     map[uint64]sentAsk
	lastSent time.Time
	mask     Mask
}

// sentAsk is an ask without a reply.
type sentAsk struct {
	at       time.Time
	requests []mustardsaddle.QuotaRequest
}

// NewDesk returns the Desk of a gateway that starts now.
func NewDesk(now time.Time, self string) *Desk {
	return &Desk{
		self: self, fleet: NewFleet(now, self), pool: NewPool(), account: NewAccount(),
		asking: make(map[string]*asking), peers: make(map[string]*peer), lastTick: now,
	}
}

// SetGateways replaces the gateways that this one knows.
func (d *Desk) SetGateways(now time.Time, vms []mustardsaddle.VM) {
	d.fleet.SetGateways(now, vms)
	d.joinSelf(now)
}

// SetListed records that this gateway has read a list of all gateways. It grants nothing
// before.
func (d *Desk) SetListed(now time.Time) {
	d.fleet.SetListed(now)
}

// joinSelf makes this gateway a member of the slots that it grants itself.
func (d *Desk) joinSelf(now time.Time) {
	mask := Mask(0)
	if !d.fleet.Young(now) && d.Active(now) {
		mask = d.fleet.MaskOf(d.self)
	}
	d.pool.Join(now, d.self, d.fleet.Listed(now), mask)
}

// Active reports whether a customer has a quota, so that Tick has to be called.
func (d *Desk) Active(now time.Time) bool {
	return d.limited || !d.lastUse.IsZero() && now.Sub(d.lastUse) < activeFor
}

// SetLimited sets whether the rules in force have a customer with a quota. All gateways then
// bring their shares, also those without calls.
func (d *Desk) SetLimited(limited bool) {
	d.limited = limited
}

// Begin records a call of a limited customer. It must be called once, before Take.
func (d *Desk) Begin(now time.Time, c mustardsaddle.Customer) {
	d.lastUse = now
	d.account.Count(now, c)
}

// Take decides about a call if it can. Otherwise it returns false, and has to be called
// again after Receive or SetFailed has returned the name of the customer, or GiveUp.
func (d *Desk) Take(now time.Time, c mustardsaddle.Customer, random float64) (mustardsaddle.Grant, bool) {
	verdict := d.account.Take(now, c, d.fleet.Known(now))
	if verdict != Ask {
		return d.grant(now, c.Name, verdict), true
	}
	slot := SlotOf(c.Name)
	granter, ok := d.fleet.Granter(slot)
	switch s := &d.slots[slot]; {
	case !ok || now.Before(s.unableUntil):
		return d.chance(now, c, random), true
	case granter == d.self:
		return d.askSelf(now, c, random), true
	default:
		d.enqueue(now, c, granter)
		return mustardsaddle.Grant{}, false
	}
}

// enqueue adds a waiting call to the next ask.
func (d *Desk) enqueue(now time.Time, c mustardsaddle.Customer, granter string) {
	a := d.asking[c.Name]
	if a == nil {
		a = &asking{customer: c, granter: granter, since: now}
		d.asking[c.Name] = a
		p := d.peer(granter)
		p.pending = append(p.pending, c.Name)
	}
	a.waiting++
}

// Granter returns the gateway that the waiting calls of a customer ask; empty if there is
// none.
func (d *Desk) Granter(customer string) string {
	if a := d.asking[customer]; a != nil {
		return a.granter
	}
	return ""
}

func (d *Desk) peer(name string) *peer {
	p := d.peers[name]
	if p == nil {
		p = &peer{sent: make(map[uint64]sentAsk)}
		d.peers[name] = p
	}
	return p
}

// askSelf asks the pool of this gateway.
func (d *Desk) askSelf(now time.Time, c mustardsaddle.Customer, random float64) mustardsaddle.Grant {
	r := d.account.Request(now, c, 1)
	answer := d.pool.Ask(now, r)
	d.settle(now, now, r, answer)
	if answer.Unable {
		return d.chance(now, c, random)
	}
	verdict := d.account.Take(now, c, d.fleet.Known(now))
	if verdict == Ask {
		verdict = Refused
	}
	return d.grant(now, c.Name, verdict)
}

// settle records an answer.
func (d *Desk) settle(now, sentAt time.Time, r mustardsaddle.QuotaRequest, answer mustardsaddle.QuotaAnswer) {
	s := &d.slots[SlotOf(r.Customer)]
	if answer.Unable {
		d.setAlone(now, SlotOf(r.Customer))
		s.unableUntil = now.Add(unableFor)
	} else {
		*s = slotState{}
	}
	d.counts.Grants += int64(answer.Granted)
	d.account.Settle(now, sentAt, r, answer, d.fleet.Known(now))
}

func (d *Desk) setAlone(now time.Time, slot int) {
	if s := &d.slots[slot]; s.aloneSince.IsZero() {
		s.aloneSince = now
	}
}

// chance decides about a call without a granter.
func (d *Desk) chance(now time.Time, c mustardsaddle.Customer, random float64) mustardsaddle.Grant {
	slot := SlotOf(c.Name)
	d.setAlone(now, slot)
	d.counts.Alone++
	return d.grant(now, c.Name, d.account.Chance(now, d.slots[slot].aloneSince, c, d.fleet.Known(now), random))
}

func (d *Desk) grant(now time.Time, name string, v Verdict) mustardsaddle.Grant {
	if v == Refused {
		d.counts.Refused++
	}
	return d.account.Grant(now, name, v)
}

// GiveUp decides about a call that has waited too long. Tokens that have arrived meanwhile
// come first.
func (d *Desk) GiveUp(now time.Time, c mustardsaddle.Customer, random float64) mustardsaddle.Grant {
	since := now
	if a := d.asking[c.Name]; a != nil {
		a.waiting--
		since = a.since
	}
	if v := d.account.Take(now, c, d.fleet.Known(now)); v != Ask {
		return d.grant(now, c.Name, v)
	}
	if alone := d.slots[SlotOf(c.Name)].aloneSince; !alone.IsZero() {
		since = alone
	}
	d.counts.Alone++
	return d.grant(now, c.Name, d.account.Chance(now, since, c, d.fleet.Known(now), random))
}

// Release returns a token that no server has used.
func (d *Desk) Release(now time.Time, name string) {
	d.account.Release(now, name)
}

// Next returns the next ask for another gateway, if one is due.
func (d *Desk) Next(now time.Time, name string) (mustardsaddle.QuotaAsk, bool) {
	p, mask := d.peer(name), d.fleet.MaskOf(name)
	interval := renewal(d.fleet.Listed(now))
	if mask == 0 {
		interval = untriedInterval
	}
	if len(p.pending) == 0 && mask == p.mask && now.Sub(p.lastSent) < interval {
		return mustardsaddle.QuotaAsk{}, false
	}
	d.nextID++
	ask := mustardsaddle.QuotaAsk{ID: d.nextID, From: d.self, Slots: uint8(mask), Known: d.fleet.Listed(now)}
	n := min(len(p.pending), MaxRequests)
	for _, customer := range p.pending[:n] {
		if a := d.asking[customer]; a != nil && a.granter == name {
			ask.Requests = append(ask.Requests, d.account.Request(now, a.customer, max(0, a.waiting)))
		}
	}
	p.pending = append(p.pending[:0], p.pending[n:]...)
	p.sent[ask.ID] = sentAsk{at: now, requests: ask.Requests}
	p.lastSent, p.mask = now, mask
	d.counts.Asks++
	return ask, true
}

// Receive records a reply of another gateway. It returns the names of the customers whose
// waiting calls can be decided. After an error the connection has to be closed.
func (d *Desk) Receive(now time.Time, name string, reply mustardsaddle.QuotaReply) ([]string, error) {
	p := d.peer(name)
	sent, known := p.sent[reply.ID]
	if !known {
		return nil, code.Errorf(code.PeerBadMessage, "reply of %s about a quota: got id %d, want that of an ask without a reply", name, reply.ID)
	}
	if len(reply.Answers) != len(sent.requests) {
		return nil, code.Errorf(code.PeerBadMessage, "reply of %s about quotas: got %d answers, want %d", name, len(reply.Answers), len(sent.requests))
	}
	for i, answer := range reply.Answers {
		if !validAnswer(answer, sent.requests[i].Want) {
			return nil, code.Errorf(code.PeerBadMessage, "reply of %s about the quota of %s: got %+v, which is out of range", name, sent.requests[i].Customer, answer)
		}
	}
	delete(p.sent, reply.ID)
	if !reply.Young {
		d.fleet.SetReady(name)
	}
	var wake []string
	for i, answer := range reply.Answers {
		r := sent.requests[i]
		answer.Unable = answer.Unable || reply.Young
		d.settle(now, sent.at, r, answer)
		delete(d.asking, r.Customer)
		wake = append(wake, r.Customer)
	}
	return wake, nil
}

// SetFailed records that the connection to another gateway has ended or could not be
// opened. Unknowing is true if the other gateway does not know quotas. It returns the names
// of the customers whose waiting calls have to take another way.
func (d *Desk) SetFailed(now time.Time, name string, unsupported bool) []string {
	if unsupported {
		d.fleet.SetUnsupported(now, name)
	} else {
		d.fleet.SetFailed(now, name)
	}
	delete(d.peers, name)
	return d.reroute(name)
}

// Drop forgets a gateway to which no connection is needed anymore.
func (d *Desk) Drop(name string) []string {
	delete(d.peers, name)
	d.fleet.SetUnused(name)
	return d.reroute(name)
}

func (d *Desk) reroute(granter string) []string {
	var wake []string
	for customer, a := range d.asking {
		if a.granter == granter {
			delete(d.asking, customer)
			wake = append(wake, customer)
		}
	}
	slices.Sort(wake)
	return wake
}

// Tick has to be called several times in the life of a membership. It returns the gateways to which a
// connection is needed, and the names of those whose replies are overdue.
func (d *Desk) Tick(now time.Time) (wanted []mustardsaddle.VM, overdue []string) {
	if now.Sub(d.lastTick) > overdueAfter {
		d.graceUntil = now.Add(overdueAfter) // this gateway has been frozen itself
	}
	d.lastTick = now
	d.joinSelf(now)
	d.pool.Advance(now, d.fleet.Known(now))
	if !d.Active(now) {
		return nil, nil
	}
	for name, p := range d.peers {
		for _, sent := range p.sent {
			if now.Sub(sent.at) > overdueAfter && now.After(d.graceUntil) {
				overdue = append(overdue, name)
				break
			}
		}
	}
	slices.Sort(overdue)
	return d.fleet.Wanted(now), overdue
}
