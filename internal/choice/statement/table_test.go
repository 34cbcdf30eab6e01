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
