package reach_test

import (
	"fmt"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/choice/reach"
)

// start is the time at which the tests begin.
var start = time.Unix(1_800_000_000, 0)

// at returns the time that is ms milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// names returns the names of n servers.
func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("booking-%02d", i)
	}
	return list
}

// observation is a reply of a server, or a failure.
type observation struct {
	at      int
	server  int
	failure *reach.Failure
}

func reply(ms, server int) observation { return observation{at: ms, server: server} }

// fail is a failure that is observed at ms, of a request that was sent wait milliseconds
// before.
func fail(ms, server, wait int, f reach.Failure) observation {
	f.SentAt = at(ms - wait)
	f.Timeout = 150 * time.Millisecond
	return observation{at: ms, server: server, failure: &f}
}

func TestDetectorLosesAndRegainsService(t *testing.T) {
	refused := reach.Failure{Cause: reach.Refused, NewConnection: true}
	hang := reach.Failure{Cause: reach.Unanswered, NewConnection: true}
	slow := reach.Failure{Cause: reach.Unanswered, NewConnection: true, Accepted: true}
	tests := []struct {
		name         string
		servers      int
		observations []observation
		want         []reach.Change
		lost         bool
	}{
		{"four of many refuse", 28, []observation{
			reply(0, 1), fail(10, 2, 1, refused), fail(11, 3, 1, refused), fail(12, 4, 1, refused), fail(13, 5, 1, refused), fail(29, 6, 1, refused),
		}, []reach.Change{0, 0, 0, 0, 0, reach.Lost}, true},
		{"servers that have ended refuse before others reply", 28, []observation{
			reply(0, 1), fail(10, 2, 1, refused), fail(10, 3, 1, refused), fail(10, 4, 1, refused), fail(10, 5, 1, refused), reply(11, 6),
		}, []reach.Change{0, 0, 0, 0, 0, 0}, false},
		{"one of many fails repeatedly", 28, []observation{
			fail(10, 2, 1, refused), fail(11, 2, 1, refused), fail(12, 2, 1, refused), fail(13, 2, 1, refused),
		}, []reach.Change{0, 0, 0, 0}, false},
		{"a server replies in between", 28, []observation{
			fail(10, 2, 1, refused), fail(11, 3, 1, refused), fail(12, 4, 1, refused), reply(13, 5), fail(20, 6, 1, refused),
		}, []reach.Change{0, 0, 0, 0, 0}, false},
		{"requests from before a reply hang", 28, []observation{
			reply(100, 1), fail(160, 2, 150, hang), fail(160, 3, 150, hang), fail(160, 4, 150, hang), fail(160, 5, 150, hang),
		}, []reach.Change{0, 0, 0, 0, 0}, false},
		{"all hang", 28, []observation{
			reply(0, 1), fail(160, 2, 150, hang), fail(160, 3, 150, hang), fail(160, 4, 150, hang), fail(160, 5, 150, hang),
		}, []reach.Change{0, 0, 0, 0, reach.Lost}, true},
		{"all hang while this process did not run", 28, []observation{
			reply(0, 1), fail(900, 2, 850, hang), fail(900, 3, 850, hang), fail(900, 4, 850, hang), fail(900, 5, 850, hang),
		}, []reach.Change{0, 0, 0, 0, 0}, false},
		{"servers accept connections and are slow", 2, []observation{
			fail(160, 0, 150, slow), fail(160, 1, 150, slow), fail(320, 0, 150, slow), fail(320, 1, 150, slow),
		}, []reach.Change{0, 0, 0, 0}, false},
		{"servers accept connections and never reply", 2, []observation{
			fail(160, 0, 150, slow), fail(160, 1, 150, slow), fail(360, 0, 150, slow), fail(360, 1, 150, slow),
			fail(700, 0, 150, slow), fail(700, 1, 150, slow),
		}, []reach.Change{0, 0, 0, 0, 0, reach.Lost}, true},
		{"only server refuses", 1, []observation{fail(10, 0, 1, refused)}, []reach.Change{reach.Lost}, true},
		{"regained after three replies", 4, []observation{
			fail(10, 0, 1, refused), fail(10, 1, 1, refused), fail(10, 2, 1, refused), fail(10, 3, 1, refused),
			reply(20, 0), reply(21, 1), fail(22, 2, 1, refused), reply(23, 0), reply(24, 1), reply(25, 0),
		}, []reach.Change{0, 0, 0, reach.Lost, 0, 0, 0, 0, 0, reach.Regained}, false},
		{"servers that are not known", 1, []observation{fail(10, 5, 1, refused)}, []reach.Change{0}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := reach.New()
			d.SetServers(names(tt.servers))
			for i, o := range tt.observations {
				now, server := at(o.at), fmt.Sprintf("booking-%02d", o.server)
				var got reach.Change
				if o.failure == nil {
					got = d.Reply(now, server)
				} else {
					o.failure.Server = server
					got = d.Fail(now, *o.failure)
				}
				if got != tt.want[i] {
					t.Errorf("observation %d: got change %d, want %d", i, got, tt.want[i])
				}
			}
			if lost, _ := d.Lost(at(1000)); lost != tt.lost {
				t.Errorf("got lost %t, want %t", lost, tt.lost)
			}
		})
	}
}

// TestDetectorKeepsStateOfOtherServers checks that a server that joins or leaves does not
// hide that the others are unreachable.
func TestDetectorKeepsStateOfOtherServers(t *testing.T) {
	d := reach.New()
	d.SetServers(names(3))
	for i, name := range names(3)[:2] {
		d.Fail(at(10+i), reach.Failure{Server: name, Cause: reach.Refused, SentAt: at(9)})
	}
	d.SetServers(names(4))
	d.Fail(at(20), reach.Failure{Server: "booking-02", Cause: reach.Refused, SentAt: at(19)})
	if d.Fail(at(21), reach.Failure{Server: "booking-03", Cause: reach.Refused, SentAt: at(20)}) != reach.Lost {
		t.Errorf("four unreachable servers of four: got no loss, evidence %+v", d.Evidence(at(21)))
	}
}

// TestSilenceGrowsWithLosses guards against a gateway on a slow link that loses and regains
// its services over and over.
func TestSilenceGrowsWithLosses(t *testing.T) {
	const servers = 8
	// lossAfter returns how many milliseconds of silence after ms lose the service.
	lossAfter := func(d *reach.Detector, ms int, cause reach.Cause) int {
		for wait := 150; wait < 5000; wait++ {
			for server := range servers {
				f := reach.Failure{Server: names(servers)[server], Cause: cause, SentAt: at(ms + wait - 150), Timeout: 150 * time.Millisecond}
				if d.Fail(at(ms+wait), f) == reach.Lost {
					return wait
				}
			}
		}
		return 0
	}
	regain := func(d *reach.Detector, ms int) {
		for i := range 3 {
			d.Reply(at(ms), names(servers)[i])
		}
	}
	tests := []struct {
		name  string
		cause reach.Cause
		// pauses holds the milliseconds between a return and the next silence, and want the
		// silences that lose the service.
		pauses, want []int
	}{
		{"unanswered in quick succession", reach.Unanswered, []int{0, 100, 100, 100, 100}, []int{150, 300, 600, 1200, 1200}},
		{"unanswered with long pauses", reach.Unanswered, []int{0, 100, 10_000, 30_000}, []int{150, 300, 300, 150}},
		{"refused", reach.Refused, []int{0, 100, 100}, []int{150, 150, 150}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := reach.New()
			d.SetServers(names(servers))
			ms := 0
			for i, pause := range tt.pauses {
				ms += pause
				regain(d, ms)
				got := lossAfter(d, ms, tt.cause)
				if got != tt.want[i] {
					t.Errorf("loss %d: got a silence of %d ms, want %d", i, got, tt.want[i])
				}
				ms += got + 1000
				regain(d, ms)
			}
		})
	}
}
