package statement_test

import (
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/statement"
)

// A response that was requested before the newest statement was learned, and a response of
// an earlier incarnation, must not relax a limit.
func TestObserveOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	none := mustardsaddle.Statement{}
	steps := []struct {
		name           string
		sent, received int
		incarnation    int64
		stated, want   mustardsaddle.Statement
		changed        bool
	}{
		{"no statement", 0, 1, 1, none, none, false},
		{"first limit", 5, 10, 1, none.WithLimit(3), none.WithLimit(3), true},
		{"the same again", 11, 15, 1, none.WithLimit(3), none.WithLimit(3), false},
		{"withdrawal in an earlier response", 9, 16, 1, none, none.WithLimit(3), false},
		{"lower limit in an earlier response", 9, 17, 1, none.WithLimit(2), none.WithLimit(2), true},
		{"raised soon after a change", 18, 266, 1, none.WithLimit(4), none.WithLimit(2), false},
		{"raised", 18, 267, 1, none.WithLimit(4), none.WithLimit(4), true},
		{"lowered soon after a change", 268, 270, 1, none.WithLimit(3), none.WithLimit(3), true},
		{"withdrawn", 271, 520, 1, none, none, true},
		{"limit of the next incarnation", 521, 522, 2, none.WithLimit(1), none.WithLimit(1), true},
		{"withdrawal of the earlier incarnation", 523, 800, 1, none, none.WithLimit(1), false},
		{"next incarnation without a limit", 801, 802, 3, none, none, true},
	}
	table := statement.NewTable()
	newest := int64(0)
	for _, s := range steps {
		server := mustardsaddle.Server{Name: "booking-01", Incarnation: s.incarnation}
		_, changed := table.Observe(at(s.received), statement.Evidence{Server: server, Stated: s.stated, SentAt: at(s.sent)})
		newest = max(newest, s.incarnation)
		got, _ := table.Statement(at(s.received), mustardsaddle.Server{Name: "booking-01", Incarnation: newest})
		if changed != s.changed || got != s.want {
			t.Errorf("%s: got %+v changed %t, want %+v changed %t", s.name, got, changed, s.want, s.changed)
		}
	}
}

// A server that has stated that it is leaving must stay so, whatever versions of its
// statement arrive in which order, and also if it is listed again after a restore of the
// directory.
func TestLeavingIsKept(t *testing.T) {
	now := time.Unix(1000, 0)
	server := mustardsaddle.Server{Name: "booking-01", Incarnation: 1}
	version := func(incarnation, seq int64, s mustardsaddle.Statement) []mustardsaddle.ServerStatement {
		return []mustardsaddle.ServerStatement{{Name: server.Name, Incarnation: incarnation, Seq: seq, Statement: s}}
	}
	none := mustardsaddle.Statement{}
	leaving := none.WithLeaving(true)
	steps := []struct {
		name string
		do   func(*statement.Table)
		want mustardsaddle.Statement
	}{
		{"stated in a response", func(t *statement.Table) {
			t.Observe(now, statement.Evidence{Server: server, Stated: leaving, SentAt: now})
		}, leaving},
		{"not stated in a later response", func(t *statement.Table) {
			t.Observe(now.Add(time.Second), statement.Evidence{Server: server, SentAt: now.Add(time.Second)})
		}, leaving},
		{"limit of a later version of a peer", func(t *statement.Table) { t.Merge(now, version(1, 7, none.WithLimit(2))) }, leaving.WithLimit(2)},
		{"no limit in a later version of a peer", func(t *statement.Table) { t.Merge(now, version(1, 8, none)) }, leaving},
		{"not listed for a moment", func(t *statement.Table) { t.SetServers(now.Add(10*time.Second), "Booking", nil) }, leaving},
		{"listed again", func(t *statement.Table) {
			t.SetServers(now.Add(20*time.Second), "Booking", []mustardsaddle.Server{server})
		}, leaving},
		{"next incarnation", func(t *statement.Table) { t.Merge(now, version(2, 1, none)) }, none},
	}
	table := statement.NewTable()
	table.SetServers(now, "Booking", []mustardsaddle.Server{server})
	for _, s := range steps {
		s.do(table)
		if got, _ := table.Statement(now, server); got != s.want {
			t.Errorf("%s: got %+v, want %+v", s.name, got, s.want)
		}
	}
}

// Two gateways that create versions with the same Seq at the same time must end with the
// same statement after they have exchanged all of them.
func TestConcurrentVersionsConverge(t *testing.T) {
	now := time.Unix(1000, 0)
	server := mustardsaddle.Server{Name: "booking-01", Incarnation: 1}
	none := mustardsaddle.Statement{}
	stated := []mustardsaddle.Statement{none, none.WithLimit(1), none.WithLimit(2), none.WithLeaving(true), none.WithLimit(2).WithLeaving(true)}
	for _, first := range stated {
		for _, second := range stated {
			tables := []*statement.Table{statement.NewTable(), statement.NewTable()}
			for i, s := range []mustardsaddle.Statement{first, second} {
				tables[i].SetServers(now, "Booking", []mustardsaddle.Server{server})
				tables[i].Merge(now, []mustardsaddle.ServerStatement{{Name: server.Name, Incarnation: 1, Seq: 1, Statement: s}})
			}
			for range 2 {
				fromFirst, fromSecond := tables[0].Statements(), tables[1].Statements()
				tables[0].Merge(now, fromSecond)
				tables[1].Merge(now, fromFirst)
			}
			a, _ := tables[0].Statement(now, server)
			b, _ := tables[1].Statement(now, server)
			if a != b || tables[0].Digest() != tables[1].Digest() || a.Leaving != (first.Leaving || second.Leaving) {
				t.Errorf("%+v and %+v: got %+v and %+v, want the same, leaving if either is", first, second, a, b)
			}
		}
	}
}
