// Package claim implements at-most-once execution of requests by idempotency key, using
// claims in the platform's object store. With the rule Repeat=Claim, a request runs at
// most once even if its caller retries it through another gateway.
//
// A claim is a single object that is created on the condition that it does not exist.
// Only the call whose ID the object holds may send the request, so correctness depends
// neither on timeouts nor on the order of responses. If the response to the write is
// lost, the object is read back. If that fails too, the request is not sent.
//
// # Usage
//
//	claims := claim.New(claim.Config{Store: store})
//	c, ok, err := claims.Acquire(ctx, "Booking", idempotencyKey, callID)
//	if err != nil { ... }  // do not send: the state of the claim is unknown
//	if !ok { ... }         // do not send: another call holds the claim c
//	...                    // send the request
//	err = claims.RecordOutcome(ctx, c.WithOutcome(mustardsaddle.Ran, 201))
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/fxamacker/cbor/v2"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
)

const (
	// keyPrefix is the prefix of claim keys in the store.
	keyPrefix = "Claims/"
	// format is the version of the claim encoding, the only one that is read.
	format = 1
)

// record is the stored encoding of a claim.
type record struct {
	Format  int
	Holder  string
	Outcome int
	Status  int
}

// Config configures a Manager.
type Config struct {
	// Store is the platform's object store.
	Store mustardsaddle.Store
}

// Manager manages claims in the platform's object store. It is safe for concurrent use.
type Manager struct {
	cfg Config
}

var _ mustardsaddle.ClaimStore = (*Manager)(nil)

// New returns a Manager.
func New(cfg Config) *Manager {
	return &Manager{cfg: cfg}
}

// Acquire acquires the claim of a request for holder. It takes over a claim whose
// recorded outcome is NotRun. It returns true if holder owns the claim, and otherwise
// false with the stored claim or an error.
func (m *Manager) Acquire(ctx context.Context, service, key, holder string) (mustardsaddle.Claim, bool, error) {
	c := mustardsaddle.Claim{Key: Key(service, key), Holder: holder}
	claimed, err := m.put(ctx, c)
	if err == nil {
		return claimed, true, nil
	}
	stored, err := m.get(ctx, c.Key)
	if err != nil {
		return c, false, err
	}
	if stored.Version > 0 && stored.Outcome == mustardsaddle.NotRun && stored.Holder != holder {
		c.Version = stored.Version
		if claimed, err = m.put(ctx, c); err == nil {
			return claimed, true, nil
		}
		if stored, err = m.get(ctx, c.Key); err != nil {
			return c, false, err
		}
	}
	if stored.Version == 0 {
		return c, false, code.Errorf(code.StoreUnavailable, "acquire claim %s: write failed and the object does not exist", c.Key)
	}
	return stored, stored.Holder == holder, nil
}

// RecordOutcome records the outcome of the request. It fails if another call has taken
// over the claim in the meantime.
func (m *Manager) RecordOutcome(ctx context.Context, c mustardsaddle.Claim) error {
	_, err := m.put(ctx, c)
	return err
}

// put writes a claim on the condition that its version is the stored one.
func (m *Manager) put(ctx context.Context, c mustardsaddle.Claim) (mustardsaddle.Claim, error) {
	value, err := cbor.Marshal(record{Format: format, Holder: c.Holder, Outcome: int(c.Outcome), Status: c.Status})
	if err != nil {
		return c, code.Wrapf(code.Internal, err, "encode claim %s", c.Key)
	}
	c.Version, err = m.cfg.Store.Put(ctx, c.Key, value, c.Version)
	return c, err
}

// get reads a claim. A claim that does not exist has version 0.
func (m *Manager) get(ctx context.Context, key string) (mustardsaddle.Claim, error) {
	o, err := m.cfg.Store.Get(ctx, key)
	if err != nil || o.Version == 0 {
		return mustardsaddle.Claim{Key: key}, err
	}
	var r record
	if err := cbor.Unmarshal(o.Value, &r); err != nil {
		return mustardsaddle.Claim{Key: key}, code.Wrapf(code.StoreBadObject, err, "decode claim %s", key)
	}
	outcome := mustardsaddle.Outcome(r.Outcome)
	if r.Format != format || r.Holder == "" || outcome < mustardsaddle.Unknown || outcome > mustardsaddle.Ran {
		return mustardsaddle.Claim{Key: key}, code.Errorf(code.StoreBadObject, "decode claim %s: got format %d, want format %d with a holder and a valid outcome", key, r.Format, format)
	}
	return mustardsaddle.Claim{Key: key, Version: o.Version, Holder: r.Holder, Outcome: outcome, Status: r.Status}, nil
}

// Key returns the store key of a claim: a digest of the service and the
// Idempotency-Key. The digest input begins with the length of the service name, so that
// different pairs never have the same input.
func Key(service, idempotencyKey string) string {
	input := binary.BigEndian.AppendUint32(nil, uint32(len(service)))
	input = append(input, service...)
	input = append(input, idempotencyKey...)
	sum := sha256.Sum256(input)
	return keyPrefix + hex.EncodeToString(sum[:])
}
