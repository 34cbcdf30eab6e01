package grant_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/gorilla/mux"
	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/peer/grant"
	"mustardsaddle.example/mustardsaddle/internal/standin/relay"
)

var gold = mustardsaddle.Customer{Name: "gold", Rate: 1, Burst: 1}

// desk is a Desk that asks one peer, and records what becomes of it.
type desk struct {
	peer mustardsaddle.VM

	mu                  sync.Mutex
	granted, asked      bool
	failed, unsupported bool
	served, left        int
	serveErr, replyErr  error
}

func (d *desk) locked(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

func (d *desk) SetGateways(time.Time, []mustardsaddle.VM)     {}
func (d *desk) SetListed(time.Time)                           {}
func (d *desk) SetLimited(bool)                               {}
func (d *desk) Active(time.Time) bool                         { return true }
func (d *desk) Begin(time.Time, mustardsaddle.Customer)       {}
func (d *desk) Granter(string) string                         { return d.peer.Name }
func (d *desk) Release(time.Time, string)                     {}
func (d *desk) Drop(string) []string                          { return nil }
func (d *desk) Left(time.Time, string)                        { d.locked(func() { d.left++ }) }
func (d *desk) Top(time.Time, int) []mustardsaddle.QuotaUse   { return nil }
func (d *desk) Changes(time.Time) []mustardsaddle.QuotaUse    { return nil }
func (d *desk) Counts() (counts mustardsaddle.QuotaCounts)    { return counts }
func (d *desk) Tick(time.Time) ([]mustardsaddle.VM, []string) { return d.wanted(), nil }

func (d *desk) wanted() []mustardsaddle.VM {
	if d.peer.Name == "" {
		return nil
	}
	return []mustardsaddle.VM{d.peer}
}

func (d *desk) Take(time.Time, mustardsaddle.Customer, float64) (g mustardsaddle.Grant, decided bool) {
	d.locked(func() { g.Allowed, decided = d.granted, d.granted || d.failed })
	return g, decided
}

func (d *desk) GiveUp(time.Time, mustardsaddle.Customer, float64) mustardsaddle.Grant {
	return mustardsaddle.Grant{RetryAfter: time.Hour}
}

func (d *desk) Next(time.Time, string) (ask mustardsaddle.QuotaAsk, due bool) {
	d.locked(func() { due, d.asked = !d.asked, true })
	return mustardsaddle.QuotaAsk{ID: 7, From: "gateway-1", Known: 2}, due
}

func (d *desk) Receive(time.Time, string, mustardsaddle.QuotaReply) (wake []string, err error) {
	d.locked(func() { d.granted, err = d.replyErr == nil, d.replyErr })
	return []string{gold.Name}, err
}

func (d *desk) SetFailed(_ time.Time, _ string, unsupported bool) []string {
	d.locked(func() { d.failed, d.unsupported = true, unsupported })
	return []string{gold.Name}
}

func (d *desk) Serve(_ time.Time, ask mustardsaddle.QuotaAsk) (reply mustardsaddle.QuotaReply, err error) {
	d.locked(func() { d.served++; err = d.serveErr })
	return mustardsaddle.QuotaReply{ID: ask.ID}, err
}

// start runs the quotas of a desk behind a server. The log goes to the buffer.
func start(d *desk, log *bytes.Buffer) (q *grant.Quotas, address string, stop func()) {
	return startWith(d, log, func(ln net.Listener) net.Listener { return ln })
}

// startWith starts quotas whose listener is wrapped.
func startWith(d *desk, log *bytes.Buffer, wrap func(net.Listener) net.Listener) (q *grant.Quotas, address string, stop func()) {
	q = grant.New(grant.Config{Desk: d, Wait: 500 * time.Millisecond, Logger: zerolog.New(log)})
	r := mux.NewRouter()
	q.Mount(r)
	s := httptest.NewUnstartedServer(r)
	s.Listener = wrap(s.Listener)
	s.Start()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go q.Run(ctx, done)
	return q, strings.TrimPrefix(s.URL, "http://"), func() { cancel(); <-done; s.Close() }
}

func TestAskOverConnection(t *testing.T) {
	errBad := code.Errorf(code.PeerBadMessage, "a bad message")
	for name, c := range map[string]struct {
		granter, asker *desk
		allowed        bool
		failed         bool
	}{
		"answers":                   {&desk{}, &desk{}, true, false},
		"refuses the ask":           {&desk{serveErr: errBad}, &desk{}, false, true},
		"sends a bad reply":         {&desk{}, &desk{replyErr: errBad}, false, true},
		"has another kind of error": {&desk{serveErr: errors.New("no")}, &desk{}, false, true},
	} {
		convey.Convey("Given a granter that "+name, t, func() {
			var granterLog, askerLog bytes.Buffer
			_, address, stopGranter := start(c.granter, &granterLog)
			c.asker.peer = mustardsaddle.VM{Name: "gateway-2", Peer: address}
			q, _, stop := start(c.asker, &askerLog)
			g := q.Acquire(context.Background(), time.Now(), gold)
			convey.So(g.Allowed, convey.ShouldEqual, c.allowed)
			failed := false
			c.asker.locked(func() { failed = c.asker.failed })
			stop()
			stopGranter()
			convey.So(failed, convey.ShouldEqual, c.failed)
			convey.So(strings.Count(granterLog.String()+askerLog.String(), "PeerMessageRefused"), convey.ShouldBeLessThanOrEqualTo, 1)
		})
	}
}

// TestBrokenHeadOpensNoConnection guards against an ask for quota over a connection that was
// accepted with a broken head.
func TestBrokenHeadOpensNoConnection(t *testing.T) {
	convey.Convey("Given a granter whose head has a blank in a field name", t, func() {
		_, address, stopGranter := startWith(&desk{}, &bytes.Buffer{}, func(ln net.Listener) net.Listener { return relay.HeadBreaker{Listener: ln} })
		asker := &desk{peer: mustardsaddle.VM{Name: "gateway-2", Peer: address}}
		q, _, stop := start(asker, &bytes.Buffer{})
		allowed := q.Acquire(context.Background(), time.Now(), gold).Allowed
		stop()
		stopGranter()
		convey.So(allowed, convey.ShouldBeFalse)
		convey.So(asker.failed, convey.ShouldBeTrue)
	})
}

func TestPeerOfOlderBuild(t *testing.T) {
	convey.Convey("Given a peer that answers 404", t, func() {
		s := httptest.NewServer(http.NotFoundHandler())
		d := &desk{peer: mustardsaddle.VM{Name: "gateway-2", Peer: strings.TrimPrefix(s.URL, "http://")}}
		q, _, stop := start(d, &bytes.Buffer{})
		convey.So(q.Acquire(context.Background(), time.Now(), gold).Allowed, convey.ShouldBeFalse)
		stop()
		s.Close()
		convey.So(d.unsupported, convey.ShouldBeTrue)
	})
}

func TestMalformedMessagesCloseTheConnection(t *testing.T) {
	for name, message := range map[string][]byte{
		"malformed": {0xff, 1, 2}, "of another shape": {0x81, 1}, "huge": make([]byte, 1<<20),
	} {
		convey.Convey("Given a peer that sends a message that is "+name+", twice", t, func() {
			var log bytes.Buffer
			d := &desk{}
			_, address, stop := start(d, &log)
			for range 2 {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				ws, _, err := websocket.Dial(ctx, "ws://"+address+grant.Path, nil)
				convey.So(err, convey.ShouldBeNil)
				_ = ws.Write(ctx, websocket.MessageBinary, message)
				_, _, err = ws.Read(ctx)
				convey.So(err, convey.ShouldNotBeNil)
				convey.So(ctx.Err(), convey.ShouldBeNil)
				cancel()
			}
			stop()
			convey.So(d.served, convey.ShouldEqual, 0)
			convey.So(strings.Count(log.String(), "PeerMessageRefused"), convey.ShouldEqual, 1)
		})
	}
}

func TestNoQuota(t *testing.T) {
	convey.Convey("A customer without a quota is always allowed", t, func() {
		q := grant.New(grant.Config{Desk: &desk{}})
		g := q.Acquire(context.Background(), time.Now(), mustardsaddle.Customer{Name: "free"})
		convey.So(g, convey.ShouldResemble, mustardsaddle.Grant{Allowed: true})
	})
}
