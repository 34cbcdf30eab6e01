package share_test

import (
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/share"
)

// TestMembersCountNoFewerThanRun guards against gateways that divide a bound of the whole
// fleet by too few of them: just after their start, while others are out of reach, and with
// an old list.
func TestMembersCountNoFewerThanRun(t *testing.T) {
	start := time.Unix(1000, 0)
	after := start.Add
	all := []mustardsaddle.VM{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	names := []string{"a", "b", "c"}
	cases := []struct {
		name   string
		events func(m *share.Members)
		at     time.Duration
		want   int
	}{
		{"knows nothing", func(*share.Members) {}, time.Hour, 0},
		{"knows peers, but no list", func(m *share.Members) { m.SetGateways(start, all) }, time.Minute, 0},
		{"has just read its first list", func(m *share.Members) {
			m.SetGateways(start, all)
			m.Confirm(start, names)
		}, 500 * time.Millisecond, 0},
		{"has read a list", func(m *share.Members) {
			m.SetGateways(start, all)
			m.Confirm(start, names)
		}, 2 * time.Second, 3},
		{"listed gateways that it has not met", func(m *share.Members) {
			m.SetGateways(start, all[:1])
			m.Confirm(start, names)
		}, 2 * time.Second, 3},
		{"others out of reach", func(m *share.Members) {
			m.SetGateways(start, all)
			m.Confirm(start, names)
			m.SetGateways(after(time.Second), []mustardsaddle.VM{{Name: "a"}, {Name: "b", Leaving: true}})
		}, 4 * time.Minute, 3},
		{"one was replaced", func(m *share.Members) {
			m.SetGateways(start, all)
			m.Confirm(start, names)
			m.SetGateways(after(time.Second), []mustardsaddle.VM{{Name: "a"}, {Name: "b"}, {Name: "d"}})
		}, 4 * time.Minute, 4},
		{"the one that was replaced is forgotten", func(m *share.Members) {
			m.SetGateways(start, all)
			m.Confirm(start, names)
			m.SetGateways(after(time.Second), []mustardsaddle.VM{{Name: "a"}, {Name: "b"}, {Name: "d"}})
			m.Confirm(after(11*time.Minute), []string{"a", "b", "d"})
		}, 11 * time.Minute, 3},
		{"out of reach, but listed", func(m *share.Members) {
			m.SetGateways(start, []mustardsaddle.VM{{Name: "a"}, {Name: "b", Leaving: true}})
			m.Confirm(start, names)
			m.Confirm(after(11*time.Minute), names)
		}, 12 * time.Minute, 3},
		{"its list is old", func(m *share.Members) {
			m.SetGateways(start, all)
			m.Confirm(start, names)
		}, 6 * time.Minute, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := share.NewMembers()
			c.events(m)
			if got := m.Count(after(c.at)); got != c.want {
				t.Errorf("after %v: got %d gateways, want %d", c.at, got, c.want)
			}
		})
	}
}
