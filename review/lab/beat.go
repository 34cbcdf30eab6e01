package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drain is how long requests may still reach an upstream after the store has accepted that it is
	// draining, and stabilityWindow the time without disruption after which the store is stable.
	drain           = 2 * time.Second
	stabilityWindow = 3 * time.Second
	// lossFor is how long the store loses answers, and lateBy how much later it carries out a write
	// whose answer it has lost.
	lossFor = 4500 * time.Millisecond
	lateBy  = 4700 * time.Millisecond
	// beforeEnd is the time between the beat whose answer is lost and the end of the disruption.
	beforeEnd = 100 * time.Millisecond
	// leaveAfter is the time after the report at which the upstream exits.
	leaveAfter = drain + 600*time.Millisecond
	// bookingClients is the number of clients, which send one request after another.
	bookingClients = 10
	bookingWork    = 150 * time.Millisecond
)

// bookWhileLeaving plays an upstream that leaves. The disruption before is that the store loses
// answers: it carries out one beat of the upstream seconds later, when the upstream has reported that
// it is draining. The beat has the lower sequence.
func bookWhileLeaving(l *lab) error {
	if err := l.addUpstreams(6, 2, &upstream{work: bookingWork}); err != nil {
		return err
	}
	if err := l.begin(map[string]any{"book": route("/bookings/", "unsafe")}); err != nil {
		return err
	}
	leaver := l.upstreams[0]
	l.sleep(stabilityWindow)
	l.rec.note("the store loses answers from now on, for %s", lossFor)
	l.sleep(lossFor - beforeEnd)
	old := leaver.entry(stateReady)
	if l.trouble {
		l.rec.note("upstream %s writes %v, and gets no answer", leaver.id, old["status"])
		time.AfterFunc(lateBy, func() {
			l.rec.note("the store carries out that write now")
			_ = l.store.put(kindServers, leaver.id, old)
		})
	}
	l.sleep(beforeEnd)
	l.rec.note("the store answers each call from now on")
	l.sleep(stabilityWindow + beforeEnd/2)
	late, cut := l.bookUntilLeft(leaver)
	l.rec.note("requests that reached %s later than %s after it had reported draining: %d; of all bookings were cut off: %d", leaver.id, drain, late, cut)
	if late > 0 {
		return fmt.Errorf("DRAIN: %d requests reached upstream %s later than %s after the store had accepted that it is draining, and %d bookings were cut off when it left: %w",
			late, leaver.id, drain, cut, errBroken)
	}
	return nil
}

// bookUntilLeft lets clients book while the upstream reports that it is draining and exits. It returns
// how many requests reached it too late, and how many were not answered because it exited.
func (l *lab) bookUntilLeft(leaver *upstream) (late, cut int64) {
	var lateCount, cutCount atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(leaveAfter + 2*time.Second)
	acked := l.report(leaver)
	leaver.arrived = func(id string) {
		if after := time.Since(acked); after > drain {
			l.rec.note("LATE: %s reaches %s %s after its report was acknowledged", id, leaver.id, after.Round(time.Millisecond))
			lateCount.Add(1)
		}
	}
	wg.Go(func() { l.leave(leaver) })
	for i := range bookingClients {
		wg.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				q := request{
					id: fmt.Sprintf("book-%d-%d", i, k), method: http.MethodPost, path: "/bookings/lathe", host: host,
					body: fmt.Sprintf("lathe %d, week %d", i, k), deadline: time.Second,
				}
				if a := l.exchange(i, q); a.status == http.StatusBadGateway && len(l.runs.of(q.id)) > 0 {
					cutCount.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return lateCount.Load(), cutCount.Load()
}

// report writes that an upstream is draining, and returns when the store has acknowledged that.
func (l *lab) report(u *upstream) time.Time {
	u.state.Store(stateDraining)
	entry := u.entry(stateDraining)
	_ = l.store.put(kindServers, u.id, entry)
	l.rec.note("the store acknowledges %v of upstream %s", entry["status"], u.id)
	return time.Now()
}

// leave lets an upstream beat at each heartbeat after its report, and then exit.
func (l *lab) leave(u *upstream) {
	l.sleep(heartbeat)
	_ = l.store.put(kindServers, u.id, u.entry(stateDraining))
	l.rec.note("upstream %s beats", u.id)
	l.sleep(leaveAfter - heartbeat)
	l.rec.note("upstream %s exits", u.id)
	u.close()
	l.store.remove(kindServers, u.id)
}
