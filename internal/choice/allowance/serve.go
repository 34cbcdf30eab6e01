package allowance

import (
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

// Serve answers an ask of another gateway. After an error the connection has to be closed.
func (d *Desk) Serve(now time.Time, ask mustardsaddle.QuotaAsk) (mustardsaddle.QuotaReply, error) {
	if ask.From == "" || len(ask.From) > maxNameBytes || ask.From == d.self || ask.Known < 1 || len(ask.Requests) > MaxRequests {
		return mustardsaddle.QuotaReply{}, code.Errorf(code.PeerBadMessage,
			"ask about quotas: got sender %.100q, %d gateways and %d requests, want another gateway, at least 1 gateway and at most %d requests",
			ask.From, ask.Known, len(ask.Requests), MaxRequests)
	}
	for _, r := range ask.Requests {
		if !validRequest(r) {
			return mustardsaddle.QuotaReply{}, code.Errorf(code.PeerBadMessage, "ask of %s about the quota of %.100q: got %+v, want a name, a rate above 0 and counts that are not negative",
				ask.From, r.Customer, r)
		}
	}
	reply := mustardsaddle.QuotaReply{ID: ask.ID, Young: d.fleet.Young(now)}
	mask := Mask(ask.Slots)
	if reply.Young {
		mask = 0
	}
	d.lastUse = now
	d.pool.Join(now, ask.From, min(ask.Known, maxKnown), mask)
	for _, r := range ask.Requests {
		answer := mustardsaddle.QuotaAnswer{Unable: true}
		if mask.Has(SlotOf(r.Customer)) {
			answer = d.pool.Ask(now, r)
		}
		reply.Answers = append(reply.Answers, answer)
	}
	return reply, nil
}

// Left records that another gateway has closed its last connection.
func (d *Desk) Left(now time.Time, name string) {
	d.pool.Leave(now, name)
}

// Top returns the customers with the highest usage that this gateway grants.
func (d *Desk) Top(now time.Time, limit int) []mustardsaddle.QuotaUse {
	return d.pool.Top(now, limit)
}

// Changes returns the customers that have begun or ceased to be limited since the last call.
func (d *Desk) Changes(now time.Time) []mustardsaddle.QuotaUse {
	return d.pool.Changes(now)
}

// Counts returns what the Desk has done since its start.
func (d *Desk) Counts() mustardsaddle.QuotaCounts {
	return d.counts
}
