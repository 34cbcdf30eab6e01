package soak_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle/internal/standin/soak"
)

// A failed soak test can be repeated only if its seed gives the same plan, and it covers only
// the faults that plans contain.
func TestPlan(t *testing.T) {
	convey.Convey("Given plans from many seeds", t, func() {
		cfg := soak.Config{Length: 10 * time.Second, Gateways: 3, Servers: 5}
		kinds := make(map[soak.Kind]bool)
		places := make(map[soak.Place]bool)
		overlaps := 0
		for seed := range uint64(200) {
			plan := soak.NewPlan(cfg, seed)
			convey.So(plan, convey.ShouldResemble, soak.NewPlan(cfg, seed))
			for i, s := range plan.Steps {
				kinds[s.Kind] = true
				places[s.Place] = true
				convey.So(s.End(), convey.ShouldBeLessThanOrEqualTo, cfg.Length)
				convey.So(s.Target, convey.ShouldBeBetween, -1, cfg.Servers)
				if i > 0 {
					convey.So(s.At, convey.ShouldBeGreaterThanOrEqualTo, plan.Steps[i-1].At)
				}
				if i > 0 && s.At < plan.Steps[i-1].End() {
					overlaps++
				}
			}
		}
		convey.Convey("Statements of servers occur if they are wanted, and only then", func() {
			cfg.Statements = true
			stated := make(map[soak.Kind]bool)
			for seed := range uint64(200) {
				for _, s := range soak.NewPlan(cfg, seed).Steps {
					stated[s.Kind] = true
				}
			}
			for k := soak.ServerStatedLeaving; k <= soak.ServerPausing; k++ {
				convey.So(stated[k], convey.ShouldBeTrue)
				convey.So(kinds[k], convey.ShouldBeFalse)
			}
		})
		convey.Convey("Stops come in rounds that spare one gateway, and some are kills", func() {
			killed := 0
			for seed := range uint64(20) {
				plan := soak.NewStopsPlan(cfg, seed)
				convey.So(plan, convey.ShouldResemble, soak.NewStopsPlan(cfg, seed))
				rounds := make(map[time.Duration]int)
				for _, s := range plan.Steps {
					rounds[s.At]++
					if s.Kind == soak.GatewayKilled {
						killed++
					}
				}
				convey.So(len(rounds), convey.ShouldEqual, 4)
				for _, n := range rounds {
					convey.So(n, convey.ShouldEqual, cfg.Gateways-1)
				}
			}
			convey.So(killed, convey.ShouldBeBetween, 0, 20*4*(cfg.Gateways-1))
		})
		convey.Convey("Every kind and place occurs, and faults overlap", func() {
			for k := soak.GatewayKilled; k <= soak.RulesChanged; k++ {
				convey.So(kinds[k], convey.ShouldBeTrue)
			}
			convey.So(len(places), convey.ShouldEqual, 4)
			convey.So(overlaps, convey.ShouldBeGreaterThan, 200)
		})
	})
}
