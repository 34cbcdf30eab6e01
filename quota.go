package mustardsaddle

import "time"

// QuotaAsk is the message with which a gateway takes part in the quotas that another
// gateway, the granter, divides.
type QuotaAsk struct {
	// ID is repeated in the reply.
	ID uint64 `cbor:"1,keyasint"`
	// From is the name of the gateway that asks.
	From string `cbor:"2,keyasint"`
	// Slots is the set of slots of customers for which it asks this granter, one bit each.
	Slots uint8 `cbor:"3,keyasint,omitempty"`
	// Known is the number of gateways that it knows, itself included.
	Known int `cbor:"4,keyasint"`
	// Requests has one entry for each customer. It may be empty.
	Requests []QuotaRequest `cbor:"5,keyasint,omitempty"`
}

// QuotaRequest is what a gateway asks a granter for one customer.
type QuotaRequest struct {
	// Customer is the name of the customer.
	Customer string `cbor:"1,keyasint"`
	// Rate and Burst are the part of the quota that the granter divides.
	Rate  float64 `cbor:"2,keyasint"`
	Burst float64 `cbor:"3,keyasint,omitempty"`
	// Want is the number of tokens wanted, and Returned that of tokens which expired unused.
	Want     int `cbor:"4,keyasint,omitempty"`
	Returned int `cbor:"5,keyasint,omitempty"`
	// Calls and Refused are the numbers of calls, and of those refused, since the last request.
	Calls   int `cbor:"6,keyasint,omitempty"`
	Refused int `cbor:"7,keyasint,omitempty"`
}

// QuotaReply is the reply to a QuotaAsk.
type QuotaReply struct {
	// ID is that of the ask.
	ID uint64 `cbor:"1,keyasint"`
	// Young is true if the granter has just started and grants nothing yet.
	Young bool `cbor:"2,keyasint,omitempty"`
	// Answers has one entry for each request, in their order.
	Answers []QuotaAnswer `cbor:"3,keyasint,omitempty"`
}

// QuotaAnswer is the decision of a granter on one request.
type QuotaAnswer struct {
	// Granted is the number of tokens granted.
	Granted int `cbor:"1,keyasint,omitempty"`
	// Wait is the time until the next token, if fewer than QuotaRequest.Want were granted.
	Wait time.Duration `cbor:"2,keyasint,omitempty"`
	// Usage is the recent rate of the customer's calls at all gateways that ask this granter, as
	// a multiple of its Rate.
	Usage float64 `cbor:"3,keyasint,omitempty"`
	// Unable is true if too few gateways ask this granter for it to grant anything.
	Unable bool `cbor:"4,keyasint,omitempty"`
}

// QuotaUse is what a granter knows about one customer.
type QuotaUse struct {
	// Customer is the name of the customer.
	Customer string
	// Rate and Burst are the part of the quota that the granter divides.
	Rate, Burst float64
	// Usage is the recent rate of the customer's calls as a multiple of Rate.
	Usage float64
	// Granted counts the tokens that were granted, and Refused the calls that were refused.
	Granted, Refused int64
	// Limited is true if a request was refused within the last seconds, and Since when that
	// began.
	Limited bool
	Since   time.Time `json:",omitzero"`
}

// QuotaCounts count what a gateway has done about quotas since its start.
type QuotaCounts struct {
	// Asks counts the messages to granters, Grants the tokens that they granted, and Refused
	// the calls that were refused.
	Asks, Grants, Refused int64
	// Alone counts the calls that were decided without a granter.
	Alone int64
}
