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

// newest returns the newest version of an object, and how many there are.
func (s *system) newest(key string) (text string, versions int) {
	history := s.platform.History(key)
	if len(history) == 0 {
		return "", 0
	}
	return string(history[len(history)-1]), len(history)
}

// A write of the accepted rules whose answer is lost accepts a change once, and an
// operator who repeats a submission changes nothing.
func TestLostAnswerOfAcceptance(t *testing.T) {
	s := newSystem(t, 1)
	s.startReady("gateway-1", "gateway-2", "gateway-3")
	_, before := s.newest(registry.AcceptedKey)
	s.platform.SetFault(platform.Fault{LoseAnswers: true})
	const line = "Path=/calendars Service=Booking # Mei Lin: members browse calendars"
	text := "# Generation 1\n" + firstRules + line + "\n"
	s.submit(text)
	s.everywhere(line)
	s.submit(text)
	eventually(t, patience, "the second submission to be handled", func() bool {
		a, err := rule.ParseAccepted(first(s.newest(registry.AcceptedKey)))
		return err == nil && a.Submission == 3
	})
	newest, versions := s.newest(registry.AcceptedKey)
	a, err := rule.ParseAccepted(newest)
	if err != nil || a.File.Generation != 2 || len(a.File.Rules()) != 3 || len(a.Refusals) != 0 {
		t.Errorf("got %v and\n%s\nwant generation 2 with 3 rules and no refusal", err, newest)
	}
	if versions != before+2 {
		t.Errorf("got %d writes of the accepted rules for two submissions, want 2", versions-before)
	}
}

func first(text string, _ int) string { return text }

// Operators who edit the same generation at once keep both edits where the rules
// differ; where they clash, the first stays and the second is refused with a code
// that all can read back.
func TestRacingOperators(t *testing.T) {
	s := newSystem(t, 1)
	s.startReady("gateway-1", "gateway-2", "gateway-3")
	const (
		lathe = "Path=/lathes Service=Booking # Mei Lin: members browse lathes"
		saw   = "Path=/saws Service=Booking # Tan: members browse saws"
		won   = "Path=/rosters Service=Booking Deadline=3s # Mei Lin: rosters are slow"
		lost  = "Path=/rosters Service=Booking Deadline=4s # Tan: rosters are slower"
	)
	changed := strings.Replace(firstRules, "Path=/rosters Service=Booking Deadline=2s # Mei Lin: members browse rosters", won, 1)
	clash := strings.Replace(firstRules, "Path=/rosters Service=Booking Deadline=2s # Mei Lin: members browse rosters", lost, 1)
	s.submit("# Generation 1\n" + changed + lathe + "\n")
	s.submit("# Generation 1\n" + clash)
	s.submit("# Generation 1\n" + firstRules + saw + "\n")
	for _, line := range []string{lathe, saw, won} {
		s.everywhere(line)
	}
	for _, g := range s.gateways {
		if g.inForce(t, lost) {
			t.Errorf("gateway %s: the edit that was refused is in force", g.name)
		}
	}
	eventually(t, patience, "the refusal in "+registry.InForceKey, func() bool {
		status, err := rule.ParseInForce(first(s.newest(registry.InForceKey)))
		refusals := status.Accepted.Refusals
		return err == nil && len(refusals) == 1 && refusals[0].Submission == 3 &&
			refusals[0].Problem.Code == code.RuleConflictChange && len(status.VMs) == len(s.gateways)
	})
}

// Gateways that no link joins, with every watch held back, start from the store,
// take a change in the promised time, and leave a server that leaves alone.
func TestNoLinksAndSilentWatches(t *testing.T) {
	s := newSystem(t, 2)
	s.unlisted = true
	s.platform.SetFault(platform.Fault{HoldWatches: true})
	s.startReady("gateway-1", "gateway-2")
	const line = "Path=/calendars Service=Booking # Mei Lin: members browse calendars"
	s.submit("# Generation 1\n" + firstRules + line + "\n")
	s.everywhere(line)
	call := func() {
		for _, g := range s.gateways {
			get(t, "http://"+g.addresses.Callers+"/rosters")
		}
	}
	leaves := s.servers[1]
	eventually(t, patience, "a call to the server", func() bool { call(); return leaves.Count().Total > 0 })
	s.platform.RemoveMachine(time.Now(), "booking-01")
	time.Sleep(leavingLimit)
	before := leaves.Count()
	for range 100 {
		call()
	}
	if after := leaves.Count(); after.Total != before.Total || after.Shed != before.Shed {
		t.Errorf("the server that left got %d requests after %s, want 0", after.Total+after.Shed-before.Total-before.Shed, leavingLimit)
	}
}
