package gateway_test

import (
	"context"
	"sync"
	"testing"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/request/claim"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// memory is a platform store without faults.
type memory struct {
	mustardsaddle.Store
	mu      sync.Mutex
	objects map[string]mustardsaddle.Object
}

func (m *memory) Get(_ context.Context, key string) (mustardsaddle.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.objects[key], nil
}

func (m *memory) Put(_ context.Context, key string, value []byte, version int64) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[key].Version != version {
		return 0, code.Errorf(code.StoreConflict, "put %s", key)
	}
	m.objects[key] = mustardsaddle.Object{Key: key, Version: version + 1, Value: value}
	return version + 1, nil
}

// TestClaimAcrossGateways sends one order through two gateways at once, and again.
func TestClaimAcrossGateways(t *testing.T) {
	j := newJudge(t, nil)
	claims := claim.New(claim.Config{Store: &memory{objects: make(map[string]mustardsaddle.Object)}})
	orders := tableOf(t, "Path=/orders Method=POST Service=Booking Repeat=Claim # Tan: orders")
	a, ga := newGateway(t, gateway.Config{Claims: claims}, j.address())
	b, gb := newGateway(t, gateway.Config{Claims: claims}, j.address())
	ga.SetRules(orders)
	gb.SetRules(orders)
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() { _, _, _ = do(t, a, "POST", "/orders", "M1", "Idempotency-Key", "k1", "Test-Call", "k1") })
		wg.Go(func() { _, _, _ = do(t, b, "POST", "/orders", "M1", "Idempotency-Key", "k1", "Test-Call", "k1") })
	}
	wg.Wait()
	if n := count("k1", j); n != 1 {
		t.Fatalf("order ran %d times, want once", n)
	}
	resp, text, err := do(t, b, "POST", "/orders", "M1", "Idempotency-Key", "k1", "Test-Call", "k1")
	for err == nil && text == "Code=4012 Outcome=Unknown\n" { // until the holder has recorded the end
		resp, text, err = do(t, b, "POST", "/orders", "M1", "Idempotency-Key", "k1", "Test-Call", "k1")
	}
	if err != nil || resp.StatusCode != 409 || text != "Code=4012 Outcome=Ran\n" || count("k1", j) != 1 {
		t.Fatalf("got %v %q %v, want 409 and Ran", resp, text, err)
	}
	if resp, _, _ := do(t, a, "POST", "/orders", "M1"); resp.StatusCode != 400 {
		t.Fatalf("got status %d without a key, want 400", resp.StatusCode)
	}
}
