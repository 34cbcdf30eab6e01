package catalog_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/catalog"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

// inTransit is an update on its way to a gateway.
type inTransit struct {
	to, from int
	at       time.Duration
	update   mustardsaddle.Update
}

// circle is a ring of gateways, each of which has links to its two neighbors that take
// delay. The first of them reads the directory.
type circle struct {
	start    time.Time
	now      time.Duration
	delay    time.Duration
	gateways []*catalog.Catalog
	transit  []inTransit
	// sent counts the updates that were sent, and withContent those with content.
	sent, withContent int
}

func newCircle(n int, delay time.Duration) *circle {
	r := &circle{start: time.Unix(1_800_000_000, 0), delay: delay}
	for i := range n {
		r.gateways = append(r.gateways, catalog.New(catalog.Config{
			Self: fmt.Sprintf("gateway-%d", i), Incarnation: 1, InForce: func(*rule.Table) {},
			Forward: func(from string, _ mustardsaddle.Collection, u mustardsaddle.Update) { r.forward(i, from, u) },
		}))
	}
	return r
}

// forward sends an update to both neighbors of a gateway, except to the one it came from.
func (r *circle) forward(i int, from string, u mustardsaddle.Update) {
	n := len(r.gateways)
	for _, to := range []int{(i + 1) % n, (i - 1 + n) % n} {
		if from == fmt.Sprint(to) {
			continue
		}
		r.sent++
		if u.HasChanges() {
			r.withContent++
		}
		r.transit = append(r.transit, inTransit{to: to, from: i, at: r.now + r.delay, update: u})
	}
}

// run delivers updates until the given time, in the order of their arrival.
func (r *circle) run(until time.Duration) {
	for len(r.transit) > 0 && r.transit[0].at <= until {
		next := r.transit[0]
		r.transit = r.transit[1:]
		r.now = next.at
		r.gateways[next.to].Receive(r.start.Add(r.now), fmt.Sprint(next.from), mustardsaddle.RulesCollection, next.update)
	}
	r.now = until
}

// TestUpdatesEndOnSlowLinks guards against a change of the rules that gateways with slow
// links send each other in circles, because each copy arrives later than its age states and
// so looks like a newer confirmation. The copies kept the links slow, and made the rules
// look up to date although nobody read the directory.
func TestUpdatesEndOnSlowLinks(t *testing.T) {
	const (
		lines = 1900
		end   = 20 * time.Second
	)
	text := func(n int) string {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, "Path=/rosters/%d Service=Booking # Mei Lin: rosters\n", i)
		}
		return b.String()
	}
	read := func(r *circle, u mustardsaddle.Update) {
		now := r.start.Add(r.now)
		if err := r.gateways[0].ReceiveResponse(now, now, mustardsaddle.RulesCollection, u); err != nil {
			t.Fatal(err)
		}
	}
	for _, tt := range []struct {
		gateways int
		delay    time.Duration
	}{{2, 700 * time.Millisecond}, {5, 50 * time.Millisecond}, {5, 300 * time.Millisecond}, {13, 700 * time.Millisecond}} {
		t.Run(fmt.Sprintf("%d gateways %s apart", tt.gateways, tt.delay), func(t *testing.T) {
			r := newCircle(tt.gateways, tt.delay)
			first := mustardsaddle.Update{Whole: true, Position: revision(1), Rules: &mustardsaddle.RulesText{Generation: 1, Text: text(2)}}
			for _, c := range r.gateways[1:] {
				c.Receive(r.start, "peer", mustardsaddle.RulesCollection, first)
			}
			read(r, first)
			r.run(end)
			r.sent, r.withContent = 0, 0
			read(r, mustardsaddle.Update{After: revision(1), Position: revision(2), Rules: &mustardsaddle.RulesText{Generation: 2, Text: text(lines)}})
			r.run(2 * end)
			if maxSent := 2 * tt.gateways; r.withContent > maxSent || r.sent > 2*maxSent {
				t.Errorf("got %d updates sent, %d of them with content, want at most %d and %d", r.sent, r.withContent, 2*maxSent, maxSent)
			}
			for i, c := range r.gateways {
				known := c.Known(r.start.Add(r.now), mustardsaddle.RulesCollection)
				if known.Generation != 2 {
					t.Errorf("gateway %d: got generation %d, want 2", i, known.Generation)
				}
				if least := end - time.Duration(tt.gateways)*tt.delay; known.Age < least {
					t.Errorf("gateway %d: got an age of %s, want at least %s: nobody has read the directory since", i, known.Age, least)
				}
			}
		})
	}
}
