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

// memoryStore is an in-memory platform store that never fails.
type memoryStore struct {
	mustardsaddle.Store
	mu      sync.Mutex
	objects map[string]mustardsaddle.Object
}

func (m *memoryStore) Get(_ context.Context, key string) (mustardsaddle.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.objects[key], nil
}

func (m *memoryStore) Put(_ context.Context, key string, value []byte, version int64) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[key].Version != version {
		return 0, code.Errorf(code.StoreConflict, "put %s", key)
	}
	m.objects[key] = mustardsaddle.Object{Key: key, Version: version + 1, Value: value}
	return version + 1, nil
}

// TestClaimAcrossGateways sends requests with one idempotency key through two
// gateways concurrently, and then once more. The request must run exactly once.
func TestClaimAcrossGateways(t *testing.T) {
	s := newCountingServer(t, nil)
	claims := claim.New(claim.Config{Store: &memoryStore{objects: make(map[string]mustardsaddle.Object)}})
	orders := compileRules(t, "Path=/orders Method=POST Service=Booking Repeat=Claim # Tan: orders")
	a, ga := newGateway(t, gateway.Config{Claims: claims}, s.address())
	b, gb := newGateway(t, gateway.Config{Claims: claims}, s.address())
	ga.SetRules(orders)
	gb.SetRules(orders)
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() { _, _, _ = do(t, a, "POST", "/orders", "M1", "Idempotency-Key", "k1", "Test-Call", "k1") })
		wg.Go(func() { _, _, _ = do(t, b, "POST", "/orders", "M1", "Idempotency-Key", "k1", "Test-Call", "k1") })
	}
	wg.Wait()
	if n := executions("k1", s); n != 1 {
		t.Fatalf("request was executed %d times, want once", n)
	}
	resp, text, err := do(t, b, "POST", "/orders", "M1", "Idempotency-Key", "k1", "Test-Call", "k1")
	for err == nil && text == "Code=4012 Outcome=Unknown\n" { // until the outcome is recorded
		resp, text, err = do(t, b, "POST", "/orders", "M1", "Idempotency-Key", "k1", "Test-Call", "k1")
	}
	if err != nil || resp.StatusCode != 409 || text != "Code=4012 Outcome=Ran\n" || executions("k1", s) != 1 {
		t.Fatalf("got %v %q %v, want 409 and Ran", resp, text, err)
	}
	if resp, _, _ := do(t, a, "POST", "/orders", "M1"); resp.StatusCode != 400 {
		t.Fatalf("got status %d without an idempotency key, want 400", resp.StatusCode)
	}
}
