package main_test

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle/internal/standin/platform"
)

const (
	// claimWriteDelay is how long the platform delays the write of a claim.
	claimWriteDelay = time.Second
	// claimRule makes an order run at most once across all gateways.
	claimRule = "Path=/orders Method=POST Service=Booking Deadline=30s Repeat=Claim # Tan: recoat once\n"
)

// sendOrder sends an order with an Idempotency-Key.
func sendOrder(url, key string) response {
	r, err := http.NewRequest(http.MethodPost, url+"/orders", strings.NewReader("recoat"))
	if err != nil {
		return response{err: err}
	}
	r.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	return response{status: resp.StatusCode, header: resp.Header}
}

// ordersRun returns the number of executions at all servers.
func (s *system) ordersRun() int {
	n := 0
	for _, e := range s.servers {
		for _, runs := range s.counts(e).Runs {
			n += runs
		}
	}
	return n
}

func TestClaimHolderFrozen(t *testing.T) {
	convey.Convey("Given a gateway that is suspended while the platform writes its claim", t, func() {
		s := newSystem(t, 2, 2)
		s.submitRules(strings.Replace(rules, "Path=/rosters", claimRule+"Path=/rosters", 1))
		holder, other := s.gateways[0], s.gateways[1]
		s.waitFor("the new rule", func() bool { return holder.generationInForce() > 1 && other.generationInForce() > 1 })
		before := s.ordersRun()
		s.setPlatformFault(platform.Fault{Delay: claimWriteDelay})
		first := make(chan response, 1)
		go func() { first <- sendOrder(holder.url, "order-1") }()
		time.Sleep(claimWriteDelay / 3)
		holder.signal(syscall.SIGSTOP)
		s.setPlatformFault(platform.Fault{})
		s.waitFor("the claim to be written", func() bool {
			return strings.Contains(string(get(s.platform+"/objects?prefix=Claims/").body), "Claims/")
		})
		convey.So(s.ordersRun(), convey.ShouldEqual, before)
		convey.Convey("The other gateway refuses the order, and the claim holder runs it once after it resumes", func() {
			second := sendOrder(other.url, "order-1")
			convey.So(second.status, convey.ShouldEqual, http.StatusConflict)
			convey.So(second.header.Get("Mustardsaddle-Outcome"), convey.ShouldEqual, "Unknown")
			holder.signal(syscall.SIGCONT)
			convey.So((<-first).ok(), convey.ShouldBeTrue)
			convey.So(sendOrder(other.url, "order-1").status, convey.ShouldEqual, http.StatusConflict)
			convey.So(s.ordersRun(), convey.ShouldEqual, before+1)
		})
	})
}
