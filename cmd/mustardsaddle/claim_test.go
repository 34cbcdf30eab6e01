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
	// claimDelay is how long the platform holds the write of a claim.
	claimDelay = time.Second
	// orderRule lets an order run once over all gateways.
	orderRule = "Path=/orders Method=POST Service=Booking Deadline=30s Repeat=Claim # Tan: recoat once\n"
)

// order sends an order under an Idempotency-Key.
func order(url, key string) answer {
	r, err := http.NewRequest(http.MethodPost, url+"/orders", strings.NewReader("recoat"))
	if err != nil {
		return answer{err: err}
	}
	r.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	return answer{status: resp.StatusCode, header: resp.Header}
}

// orders returns how many orders ran at all servers.
func (s *system) orders() int {
	n := 0
	for _, e := range s.servers {
		for _, runs := range s.count(e).Runs {
			n += runs
		}
	}
	return n
}

func TestClaimHolderFrozen(t *testing.T) {
	convey.Convey("Given a gateway that is frozen while the platform writes its claim", t, func() {
		s := newSystem(t, 2, 2)
		s.submit(strings.Replace(rules, "Path=/rosters", orderRule+"Path=/rosters", 1))
		holder, other := s.gateways[0], s.gateways[1]
		s.wait("the rule", func() bool { return holder.generation() > 1 && other.generation() > 1 })
		before := s.orders()
		s.fault(platform.Fault{Delay: claimDelay})
		first := make(chan answer, 1)
		go func() { first <- order(holder.url, "order-1") }()
		time.Sleep(claimDelay / 3)
		holder.signal(syscall.SIGSTOP)
		s.fault(platform.Fault{})
		s.wait("the claim", func() bool {
			return strings.Contains(string(get(s.platform+"/objects?prefix=Claims/").body), "Claims/")
		})
		convey.So(s.orders(), convey.ShouldEqual, before)
		convey.Convey("The other gateway does not run the order, and the holder runs it once", func() {
			again := order(other.url, "order-1")
			convey.So(again.status, convey.ShouldEqual, http.StatusConflict)
			convey.So(again.header.Get("Mustardsaddle-Outcome"), convey.ShouldEqual, "Unknown")
			holder.signal(syscall.SIGCONT)
			convey.So((<-first).ok(), convey.ShouldBeTrue)
			convey.So(order(other.url, "order-1").status, convey.ShouldEqual, http.StatusConflict)
			convey.So(s.orders(), convey.ShouldEqual, before+1)
		})
	})
}
