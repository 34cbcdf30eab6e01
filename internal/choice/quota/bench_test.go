package quota_test

import (
	"fmt"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/quota"
)

// BenchmarkSet measures a change of one limit in a large fleet, and BenchmarkWait the check
// of one limit for a call.
func BenchmarkSet(b *testing.B) {
	q := newLargeFleet()
	now := epoch
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		q.Set(now, serverName, mustardsaddle.Statement{}.WithLimit(float64(i%5)))
	}
}

func BenchmarkWait(b *testing.B) {
	q := newLargeFleet()
	q.Set(epoch, serverName, mustardsaddle.Statement{}.WithLimit(1))
	now := epoch
	for b.Loop() {
		now = now.Add(time.Millisecond)
		q.Wait(now, serverName)
	}
}

// newLargeFleet returns the Quotas of one of 311 gateways.
func newLargeFleet() *quota.Quotas {
	vms := make([]mustardsaddle.VM, 311)
	for i := range vms {
		vms[i].Name = fmt.Sprintf("gateway-%03d", i+1)
	}
	q := quota.New()
	q.SetFleet(epoch, vms[0].Name, vms)
	return q
}
