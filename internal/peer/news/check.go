package news

import (
	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/control/roster"
)

// check returns an error if a field of a message is missing or out of range.
func check(msg Message) error {
	switch m := msg.(type) {
	case Hello:
		return checkHello(m)
	case Heartbeat:
		return checkSummary(m, m.Summary)
	case Marks:
		return checkMarks(m)
	case RuleChange:
		return checkRuleChange(m)
	case Generations:
		return checkGenerations(m)
	case AskRules:
		return checkNonNegative(m, "Have", m.Have)
	case WholeRules:
		return checkWholeRules(m)
	case AskMachines, AskListing, AskEvacuations:
		return nil
	case Machines:
		return checkMachines(m, m.Machines)
	case Listing:
		return checkListing(m)
	case Evacuations:
		return checkEvacuations(m)
	case Statements:
		return checkStatements(m)
	case Reaches:
		return checkReaches(m)
	case Suspicions:
		return checkSuspicions(m)
	default:
		return code.Errorf(code.PeerBadMessage, "message %s cannot be sent", typeName(msg.Type()))
	}
}

func checkHello(m Hello) error {
	if m.VM.Name == "" {
		return code.Errorf(code.PeerBadMessage, "message Hello: the name of the VM is missing")
	}
	for _, s := range []string{m.VM.Name, m.VM.Zone, m.VM.Peer} {
		if err := checkNameLength(m, s); err != nil {
			return err
		}
	}
	return checkSummary(m, m.Summary)
}

func checkSummary(m Message, s Summary) error {
	numbers := []struct {
		field string
		n     int64
	}{
		{"Generation", s.Generation},
		{"Evacuations.Era", s.Evacuations.Era}, {"Evacuations.Revision", s.Evacuations.Revision}, {"Evacuations.Age", s.Evacuations.Age},
		{"Rules.Era", s.Rules.Era}, {"Rules.Revision", s.Rules.Revision}, {"Rules.Age", s.Rules.Age}, {"Rules.Generation", s.Rules.Generation},
		{"Servers.Era", s.Servers.Era}, {"Servers.Revision", s.Servers.Revision}, {"Servers.Age", s.Servers.Age},
	}
	for _, number := range numbers {
		if err := checkNonNegative(m, number.field, number.n); err != nil {
			return err
		}
	}
	return nil
}

func checkMarks(m Marks) error {
	if len(m.Marks) > MaxMarks {
		return code.Errorf(code.PeerBadMessage, "message Marks: got %d marks, want at most %d", len(m.Marks), MaxMarks)
	}
	for _, mark := range m.Marks {
		if err := checkMark(m, mark); err != nil {
			return err
		}
	}
	return nil
}

func checkMark(m Marks, mark mustardsaddle.Mark) error {
	if mark.Name == "" {
		return code.Errorf(code.PeerBadMessage, "message Marks: a mark has no VM name")
	}
	if mark.Seq < 0 || mark.Seq > roster.FinalSeq {
		return code.Errorf(code.PeerBadMessage, "message Marks: got Seq=%d, want 0 to %d", mark.Seq, roster.FinalSeq)
	}
	return checkNameLength(m, mark.Name)
}

func checkStatements(m Statements) error {
	if len(m.Servers) > MaxMarks {
		return code.Errorf(code.PeerBadMessage, "message Statements: got %d statements, want at most %d", len(m.Servers), MaxMarks)
	}
	for _, s := range m.Servers {
		if s.Name == "" {
			return code.Errorf(code.PeerBadMessage, "message Statements: a statement has no server name")
		}
		if err := checkNameLength(m, s.Name); err != nil {
			return err
		}
		if s.Seq <= 0 {
			return code.Errorf(code.PeerBadMessage, "message Statements: got Seq=%d, want at least 1", s.Seq)
		}
		if !s.Statement.Valid() {
			return code.Errorf(code.PeerBadMessage, "message Statements: got PerSecond=%g, want 0 to %g",
				s.Statement.PerSecond, float64(mustardsaddle.MaxStatedLimit))
		}
	}
	return nil
}

func checkReaches(m Reaches) error {
	if len(m.Gateways) > MaxMarks {
		return code.Errorf(code.PeerBadMessage, "message Reaches: got %d statements, want at most %d", len(m.Gateways), MaxMarks)
	}
	for _, r := range m.Gateways {
		if r.Name == "" {
			return code.Errorf(code.PeerBadMessage, "message Reaches: a statement has no gateway name")
		}
		if r.Incarnation < 0 || r.Seq <= 0 {
			return code.Errorf(code.PeerBadMessage, "message Reaches: got Incarnation=%d Seq=%d, want at least 0 and 1", r.Incarnation, r.Seq)
		}
		if len(r.Lost) > maxLostServices {
			return code.Errorf(code.PeerBadMessage, "message Reaches: got %d services, want at most %d", len(r.Lost), maxLostServices)
		}
		for _, name := range append([]string{r.Name}, r.Lost...) {
			if err := checkNameLength(m, name); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkSuspicions(m Suspicions) error {
	if len(m.Requests) > MaxSuspicions {
		return code.Errorf(code.PeerBadMessage, "message Suspicions: got %d requests, want at most %d", len(m.Requests), MaxSuspicions)
	}
	for _, s := range m.Requests {
		if s.Digest == (mustardsaddle.RequestDigest{}) {
			return code.Errorf(code.PeerBadMessage, "message Suspicions: a request has no digest")
		}
		if s.Epoch < 0 || s.Retests < 0 || s.Age < 0 {
			return code.Errorf(code.PeerBadMessage, "message Suspicions: got Epoch=%d Retests=%d Age=%d, want at least 0", s.Epoch, s.Retests, s.Age)
		}
		if n := len(s.Crashes); n > mustardsaddle.MaxSuspicionCrashes {
			return code.Errorf(code.PeerBadMessage, "message Suspicions: got %d instances, want at most %d", n, mustardsaddle.MaxSuspicionCrashes)
		}
		if err := checkNameLength(m, s.Service); err != nil {
			return err
		}
		if err := checkInstances(m, s.Crashes); err != nil {
			return err
		}
	}
	return nil
}

// checkInstances checks the instances of a suspicion, which are in order.
func checkInstances(m Suspicions, instances []mustardsaddle.Instance) error {
	for i, instance := range instances {
		if instance.Name == "" {
			return code.Errorf(code.PeerBadMessage, "message Suspicions: an instance has no name")
		}
		if err := checkNameLength(m, instance.Name); err != nil {
			return err
		}
		if i > 0 && instances[i-1].Compare(instance) >= 0 {
			return code.Errorf(code.PeerBadMessage, "message Suspicions: got instance %s after %s, want them in order", instance.Name, instances[i-1].Name)
		}
	}
	return nil
}

func checkGenerations(m Generations) error {
	if len(m.VMs) > MaxMarks {
		return code.Errorf(code.PeerBadMessage, "message Generations: got %d VMs, want at most %d", len(m.VMs), MaxMarks)
	}
	for _, vm := range m.VMs {
		if err := checkNameLength(m, vm.Name); err != nil {
			return err
		}
		if err := checkNonNegative(m, "Generation", vm.Generation); err != nil {
			return err
		}
	}
	return nil
}

func checkRuleChange(m RuleChange) error {
	if m.From < 0 || m.To <= m.From || m.Submission < 0 {
		return code.Errorf(code.PeerBadMessage, "message RuleChange: got From=%d To=%d Submission=%d, want 0 <= From < To and Submission >= 0",
			m.From, m.To, m.Submission)
	}
	bytes := 0
	for _, lines := range [][]RuleEdit{m.Out, m.In} {
		if len(lines) > maxRuleLines {
			return code.Errorf(code.PeerBadMessage, "message RuleChange: got %d lines, want at most %d", len(lines), maxRuleLines)
		}
		for _, line := range lines {
			if line.At < 0 {
				return code.Errorf(code.PeerBadMessage, "message RuleChange: got line position %d, want at least 0", line.At)
			}
			bytes += len(line.Text)
		}
	}
	if bytes > MaxRulesBytes {
		return code.Errorf(code.PeerBadMessage, "message RuleChange: got %d bytes, want at most %d", bytes, MaxRulesBytes)
	}
	return nil
}

func checkWholeRules(m WholeRules) error {
	if len(m.Text) > MaxRulesBytes {
		return code.Errorf(code.PeerBadMessage, "message WholeRules: got %d bytes, want at most %d", len(m.Text), MaxRulesBytes)
	}
	return checkNonNegative(m, "Generation", m.Generation)
}

func checkMachines(m Message, machines []mustardsaddle.Machine) error {
	if len(machines) > MaxMachines {
		return code.Errorf(code.PeerBadMessage, "message %s: got %d VMs, want at most %d", typeName(m.Type()), len(machines), MaxMachines)
	}
	for _, machine := range machines {
		if machine.Name == "" {
			return code.Errorf(code.PeerBadMessage, "message %s: a VM has no name", typeName(m.Type()))
		}
		for _, s := range []string{machine.Name, machine.Zone, machine.Service, machine.Address} {
			if err := checkNameLength(m, s); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkListing(m Listing) error {
	if m.After < 0 || m.Revision <= 0 || m.Generation < 0 || m.Age < 0 {
		return code.Errorf(code.PeerBadMessage, "message Listing: got After=%d Revision=%d Generation=%d Age=%d, want Revision > 0 and the others at least 0",
			m.After, m.Revision, m.Generation, m.Age)
	}
	if m.AfterEra < 0 || m.Era < m.AfterEra {
		return code.Errorf(code.PeerBadMessage, "message Listing: got AfterEra=%d Era=%d, want 0 <= AfterEra <= Era", m.AfterEra, m.Era)
	}
	if err := checkReading(m, m.Reading); err != nil {
		return err
	}
	if len(m.Rules) > MaxRulesBytes {
		return code.Errorf(code.PeerBadMessage, "message Listing: got a rules text of %d bytes, want at most %d", len(m.Rules), MaxRulesBytes)
	}
	if m.RuleChange != nil {
		if err := checkRuleChange(*m.RuleChange); err != nil {
			return err
		}
	}
	if len(m.Removed) > MaxMachines {
		return code.Errorf(code.PeerBadMessage, "message Listing: got %d removed names, want at most %d", len(m.Removed), MaxMachines)
	}
	for _, removed := range m.Removed {
		if err := checkNameLength(m, removed); err != nil {
			return err
		}
	}
	return checkMachines(m, m.Machines)
}

// checkReading refuses a reading with a name that is too long or with negative numbers.
func checkReading(m Message, r mustardsaddle.Reading) error {
	if r.Incarnation < 0 || r.Seq < 0 {
		return code.Errorf(code.PeerBadMessage, "message %s: got reading Incarnation=%d Seq=%d, want at least 0", typeName(m.Type()), r.Incarnation, r.Seq)
	}
	return checkNameLength(m, r.Gateway)
}

func checkEvacuations(m Evacuations) error {
	if err := checkReading(m, m.Reading); err != nil {
		return err
	}
	if m.Era < 0 || m.Revision <= 0 || m.Age < 0 {
		return code.Errorf(code.PeerBadMessage, "message Evacuations: got Era=%d Revision=%d Age=%d, want Revision > 0 and the others at least 0",
			m.Era, m.Revision, m.Age)
	}
	if len(m.Zones) > MaxMachines {
		return code.Errorf(code.PeerBadMessage, "message Evacuations: got %d zones, want at most %d", len(m.Zones), MaxMachines)
	}
	for _, zone := range m.Zones {
		if zone == "" {
			return code.Errorf(code.PeerBadMessage, "message Evacuations: got a zone without a name, want a name")
		}
		if err := checkNameLength(m, zone); err != nil {
			return err
		}
	}
	return nil
}

func checkNameLength(m Message, s string) error {
	if len(s) > mustardsaddle.MaxNameBytes {
		return code.Errorf(code.PeerBadMessage, "message %s: got a name of %d bytes, want at most %d", typeName(m.Type()), len(s), mustardsaddle.MaxNameBytes)
	}
	return nil
}

func checkNonNegative(m Message, field string, n int64) error {
	if n < 0 {
		return code.Errorf(code.PeerBadMessage, "message %s: got %s=%d, want at least 0", typeName(m.Type()), field, n)
	}
	return nil
}
