// Package claim keeps claims in the platform's store: the rule Repeat=Claim lets a
// request run at most once even when its caller sends it again through another
// gateway.
//
// A claim is one object, created on the condition that none exists. Only the call
// whose id the object holds may send the request, so neither time limits nor the
// order of answers matter. When the answer of the write is lost, the object is read
// back; when that fails too, the request is not sent.
//
// # Usage
//
//	claims := claim.New(claim.Config{Store: store})
//	c, ok, err := claims.Take(ctx, "Booking", idempotencyKey, callID)
//	if err != nil { ... }  // not sent: the store gave no clear word
//	if !ok { ... }         // not sent: c says what is recorded
//	...                    // send
//	err = claims.Settle(ctx, c.WithOutcome(mustardsaddle.Ran, 201))
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
	// keyPrefix begins the keys of claims in the store.
	keyPrefix = "Claims/"
	// format is the newest format of a claim that this version reads.
	format = 1
)

// record is a claim as it is stored.
type record struct {
	Format  int
	Holder  string
	Outcome int
	Status  int
}

// Config configures a Keeper.
type Config struct {
	// Store is the platform's store.
	Store mustardsaddle.Store
}

// Keeper keeps claims in the platform's store. It is safe for concurrent use.
type Keeper struct {
	cfg Config
}

var _ mustardsaddle.Claims = (*Keeper)(nil)

// New returns a Keeper.
func New(cfg Config) *Keeper {
	return &Keeper{cfg: cfg}
}

// Take claims the request, taking over a claim that was settled as NotRun.
func (k *Keeper) Take(ctx context.Context, service, key, holder string) (mustardsaddle.Claim, bool, error) {
	c := mustardsaddle.Claim{Key: Key(service, key), Holder: holder}
	taken, err := k.put(ctx, c)
	if err == nil {
		return taken, true, nil
	}
	known, err := k.get(ctx, c.Key)
	if err != nil {
		return c, false, err
	}
	if known.Version > 0 && known.Outcome == mustardsaddle.NotRun && known.Holder != holder {
		c.Version = known.Version
		if taken, err = k.put(ctx, c); err == nil {
			return taken, true, nil
		}
		if known, err = k.get(ctx, c.Key); err != nil {
			return c, false, err
		}
	}
	if known.Version == 0 {
		return c, false, code.Errorf(code.StoreUnavailable, "take claim %s: write got no answer and left no record", c.Key)
	}
	return known, known.Holder == holder, nil
}

// Settle records what became of the request, unless another call has taken the
// claim meanwhile.
func (k *Keeper) Settle(ctx context.Context, c mustardsaddle.Claim) error {
	_, err := k.put(ctx, c)
	return err
}

// put writes a claim over the version that it names.
func (k *Keeper) put(ctx context.Context, c mustardsaddle.Claim) (mustardsaddle.Claim, error) {
	value, err := cbor.Marshal(record{Format: format, Holder: c.Holder, Outcome: int(c.Outcome), Status: c.Status})
	if err != nil {
		return c, code.Wrapf(code.Internal, err, "encode claim %s", c.Key)
	}
	c.Version, err = k.cfg.Store.Put(ctx, c.Key, value, c.Version)
	return c, err
}

// get reads a claim; one that does not exist has version 0.
func (k *Keeper) get(ctx context.Context, key string) (mustardsaddle.Claim, error) {
	o, err := k.cfg.Store.Get(ctx, key)
	if err != nil || o.Version == 0 {
		return mustardsaddle.Claim{Key: key}, err
	}
	var r record
	if err := cbor.Unmarshal(o.Value, &r); err != nil {
		return mustardsaddle.Claim{Key: key}, code.Wrapf(code.StoreBadObject, err, "decode claim %s", key)
	}
	outcome := mustardsaddle.Outcome(r.Outcome)
	if r.Format != format || r.Holder == "" || outcome < mustardsaddle.Unknown || outcome > mustardsaddle.Ran {
		return mustardsaddle.Claim{Key: key}, code.Errorf(code.StoreBadObject, "decode claim %s: got format %d, want %d with holder and outcome", key, r.Format, format)
	}
	return mustardsaddle.Claim{Key: key, Version: o.Version, Holder: r.Holder, Outcome: outcome, Status: r.Status}, nil
}

// Key returns the store's key of a claim: the digest of service and
// Idempotency-Key, with the service's length first so that no two pairs run into
// each other.
func Key(service, idempotencyKey string) string {
	text := binary.BigEndian.AppendUint32(nil, uint32(len(service)))
	text = append(text, service...)
	text = append(text, idempotencyKey...)
	sum := sha256.Sum256(text)
	return keyPrefix + hex.EncodeToString(sum[:])
}
