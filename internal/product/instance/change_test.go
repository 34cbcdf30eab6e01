package instance_test

import (
	"strings"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/control/registry"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/standin/platform"
)

// newest returns the newest version of an object in the store, and the number of its
// versions.
func (s *cluster) newest(key string) (text string, versions int) {
	history := s.platform.History(key)
	if len(history) == 0 {
		return "", 0
	}
	return string(history[len(history)-1]), len(history)
}

// If the response to the write of the accepted rules is lost, the change is still
// accepted exactly once. Submitting the same rules again changes nothing.
func TestLostResponseToAcceptance(t *testing.T) {
	s := newCluster(t, 1)
	s.startReady("gateway-1", "gateway-2", "gateway-3")
	_, before := s.newest(registry.AcceptedKey)
	s.platform.SetFault(platform.Fault{LoseAnswers: true})
	const line = "Path=/calendars Service=Booking # Mei Lin: members browse calendars"
	text := "# Generation 1\n" + initialRules + line + "\n"
	s.submit(text)
	s.expectInForce(line)
	s.submit(text)
	eventually(t, waitTimeout, "second submission handled", func() bool {
		a, err := rule.ParseAccepted(textOnly(s.newest(registry.AcceptedKey)))
		return err == nil && a.Submission == 3
	})
	newest, versions := s.newest(registry.AcceptedKey)
	a, err := rule.ParseAccepted(newest)
	if err != nil || a.File.Generation != 2 || len(a.File.Rules()) != 3 || len(a.Refusals) != 0 {
		t.Errorf("got error %v and\n%s\nwant generation 2 with 3 rules and no refusals", err, newest)
	}
	if versions != before+2 {
		t.Errorf("got %d writes of the accepted rules for two submissions, want 2", versions-before)
	}
}

// textOnly drops the number of versions that newest returns.
func textOnly(text string, _ int) string { return text }

// If operators edit the same generation concurrently, edits of different rules are
// merged. Of conflicting edits the first is kept; the second is refused with a code
// that is published in Rules/InForce.
func TestConcurrentOperators(t *testing.T) {
	s := newCluster(t, 1)
	s.startReady("gateway-1", "gateway-2", "gateway-3")
	const (
		lathe   = "Path=/lathes Service=Booking # Mei Lin: members browse lathes"
		saw     = "Path=/saws Service=Booking # Tan: members browse saws"
		kept    = "Path=/rosters Service=Booking Deadline=3s # Mei Lin: rosters are slow"
		refused = "Path=/rosters Service=Booking Deadline=4s # Tan: rosters are slower"
	)
	changed := strings.Replace(initialRules, "Path=/rosters Service=Booking Deadline=2s # Mei Lin: members browse rosters", kept, 1)
	conflicting := strings.Replace(initialRules, "Path=/rosters Service=Booking Deadline=2s # Mei Lin: members browse rosters", refused, 1)
	s.submit("# Generation 1\n" + changed + lathe + "\n")
	s.submit("# Generation 1\n" + conflicting)
	s.submit("# Generation 1\n" + initialRules + saw + "\n")
	for _, line := range []string{lathe, saw, kept} {
		s.expectInForce(line)
	}
	for _, g := range s.gateways {
		if g.inForce(t, refused) {
			t.Errorf("gateway %s: got the refused edit in force, want only the first one", g.name)
		}
	}
	eventually(t, waitTimeout, "refusal in "+registry.InForceKey, func() bool {
		status, err := rule.ParseInForce(textOnly(s.newest(registry.InForceKey)))
		refusals := status.Accepted.Refusals
		return err == nil && len(refusals) == 1 && refusals[0].Submission == 3 &&
			refusals[0].Problem.Code == code.RuleConflictChange && len(status.VMs) == len(s.gateways)
	})
}

// Gateways without links, whose watches report no changes, still start from the store,
// put a change in force within propagationLimit, and stop sending requests to a leaving
// server.
func TestNoLinksAndSilentWatches(t *testing.T) {
	s := newCluster(t, 2)
	s.unlisted = true
	s.platform.SetFault(platform.Fault{HoldWatches: true})
	s.startReady("gateway-1", "gateway-2")
	const line = "Path=/calendars Service=Booking # Mei Lin: members browse calendars"
	s.submit("# Generation 1\n" + initialRules + line + "\n")
	s.expectInForce(line)
	call := func() {
		for _, g := range s.gateways {
			get(t, "http://"+g.addresses.Callers+"/rosters")
		}
	}
	leaving := s.servers[1]
	eventually(t, waitTimeout, "call to the server", func() bool { call(); return leaving.Count().Total > 0 })
	s.platform.RemoveMachine(time.Now(), "booking-01")
	time.Sleep(leavingLimit)
	before := leaving.Count()
	for range 100 {
		call()
	}
	if after := leaving.Count(); after.Total != before.Total || after.Shed != before.Shed {
		t.Errorf("server that left: got %d requests later than %s after its removal, want 0", after.Total+after.Shed-before.Total-before.Shed, leavingLimit)
	}
}
