package link_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/gorilla/mux"
	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/roster"
	"mustardsaddle.example/mustardsaddle/internal/peer/link"
	"mustardsaddle.example/mustardsaddle/internal/peer/news"
	"mustardsaddle.example/mustardsaddle/internal/standin/relay"
)

// patience bounds waits for what must happen at some time.
const patience = 20 * time.Second

// maxLinks is how many links a node accepts.
const maxLinks = 20

// promise is the time within which a change is in force everywhere.
const promise = 5 * time.Second

func quick() link.Timing {
	return link.Timing{Heartbeat: 100 * time.Millisecond, Silence: 500 * time.Millisecond, MaxBackoff: 200 * time.Millisecond}
}

// node is a gateway reduced to its links: it applies rule changes by their
// number, and passes them on.
type node struct {
	vm    mustardsaddle.VM
	links *link.Links
	relay *news.Relay

	mu         sync.Mutex
	generation int64
	messages   []news.Message
	lost       []string
	// hold, if set, is received from before each message is taken.
	hold chan struct{}
	// onMessage, if set, takes the messages instead.
	onMessage func(news.Message)
}

func newNode(t testing.TB, name, zone string, timing link.Timing) *node {
	return startNode(t, &node{vm: mustardsaddle.VM{Name: name, Incarnation: 1, Zone: zone}}, timing)
}

func startNode(t testing.TB, n *node, timing link.Timing) *node {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n.vm.Peer = listener.Addr().String()
	n.relay = news.NewRelay(news.RelayConfig{})
	n.links = link.New(link.Config{
		Self: n.vm, Summary: n.summary, Receive: n.receive, Lost: n.onLost, Timing: timing, Logger: zerolog.Nop(),
		Queue: 16, MaxLinks: maxLinks,
	})
	router := mux.NewRouter()
	n.links.Mount(router)
	server := &http.Server{Handler: router}
	served, ended := make(chan error, 1), make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { served <- server.Serve(listener) }()
	go func() { ended <- n.links.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("Run: %v", err)
		}
		_ = server.Close()
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("Serve: %v", err)
		}
	})
	return n
}

func (n *node) summary() news.Summary {
	n.mu.Lock()
	defer n.mu.Unlock()
	return news.Summary{Generation: n.generation}
}

func (n *node) onLost(_ time.Time, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lost = append(n.lost, name)
}

func (n *node) receive(now time.Time, from string, msg news.Message) {
	if n.hold != nil {
		<-n.hold
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.onMessage != nil {
		n.onMessage(msg)
		return
	}
	n.messages = append(n.messages, msg)
	switch m := msg.(type) {
	case news.Hello:
		n.relay.Forget(from)
		n.compare(now, from, m.Summary)
	case news.Heartbeat:
		n.compare(now, from, m.Summary)
	case news.AskRules:
		n.links.Send(from, news.WholeRules{Generation: n.generation})
	case news.WholeRules:
		n.generation = max(n.generation, m.Generation)
	case news.RuleChange:
		n.links.SendAll(n.relay.Targets(from, m, n.generation, n.links.Peers()), m)
		n.generation = max(n.generation, m.To)
	}
}

// compare asks a peer that knows more. The caller holds mu.
func (n *node) compare(now time.Time, from string, theirs news.Summary) {
	if n.relay.Compare(now, from, news.Summary{Generation: n.generation}, theirs).AskRules {
		n.links.Send(from, news.AskRules{Have: n.generation})
	}
}

// change makes the next generation at n.
func (n *node) change() {
	n.mu.Lock()
	m := news.RuleChange{From: n.generation, To: n.generation + 1}
	n.generation++
	n.mu.Unlock()
	n.links.Broadcast(m)
}

func (n *node) at() int64 {
	return n.summary().Generation
}

func (n *node) count(kind news.Type) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, m := range n.messages {
		if m.Type() == kind {
			count++
		}
	}
	return count
}

func (n *node) linked(peer string) bool {
	return slices.Contains(n.links.Peers(), peer)
}

// wait polls until the condition holds, and returns how long it took.
func wait(t testing.TB, what string, ok func() bool) time.Duration {
	t.Helper()
	begin := time.Now()
	for !ok() {
		if time.Since(begin) > patience {
			t.Fatalf("waited %v for %s", patience, what)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return time.Since(begin)
}

// newRelay starts a relay to a peer, which ends with the test.
func newRelay(t testing.TB, target string) *relay.Relay {
	r, err := relay.New(context.Background(), target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// pair links a to b through a relay; only a dials.
func pair(t testing.TB, timing link.Timing) (a, b *node, r *relay.Relay) {
	a, b = newNode(t, "gateway-a", "1", timing), newNode(t, "gateway-b", "1", timing)
	r = newRelay(t, b.vm.Peer)
	a.links.SetNeighbors([]mustardsaddle.VM{{Name: "gateway-b", Peer: r.Address()}})
	wait(t, "the link", func() bool { return a.linked("gateway-b") && b.linked("gateway-a") })
	return a, b, r
}

func TestSilentLinkIsReplaced(t *testing.T) {
	convey.Convey("Given a link at the default timing that goes silent, and no other path", t, func() {
		a, b, r := pair(t, link.Timing{})
		convey.So(r.Silence(), convey.ShouldEqual, 1)
		a.change()
		convey.Convey("A change arrives over a new connection within the promised time", func() {
			took := wait(t, "the change", func() bool { return b.at() == 1 })
			t.Logf("in force after %v", took)
			convey.So(took, convey.ShouldBeLessThan, promise)
			convey.So(a.links.Stats().Silent+b.links.Stats().Silent, convey.ShouldBeGreaterThanOrEqualTo, 1)
		})
	})
}

func TestCutLinkIsReplaced(t *testing.T) {
	convey.Convey("Given a link that is cut while messages are sent", t, func() {
		a, b, r := pair(t, quick())
		for range 5 {
			r.Reset()
			a.change()
			wait(t, "the change", func() bool { return b.at() == a.at() })
		}
		convey.So(a.links.Stats().Dials, convey.ShouldBeGreaterThan, 1)
	})
}

func TestLostNeighbor(t *testing.T) {
	convey.Convey("Given a neighbor whose VM is gone", t, func() {
		a, _, r := pair(t, quick())
		r.Close()
		wait(t, "the loss", func() bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			return len(a.lost) > 0
		})
		convey.So(a.lost, convey.ShouldResemble, []string{"gateway-b"})
		convey.So(a.links.Send("gateway-b", news.AskRules{}), convey.ShouldBeFalse)
	})
}

func TestSlowReader(t *testing.T) {
	convey.Convey("Given a peer that takes no message", t, func() {
		a := newNode(t, "gateway-a", "1", quick())
		hold := make(chan struct{})
		b := startNode(t, &node{vm: mustardsaddle.VM{Name: "gateway-b", Incarnation: 1}, hold: hold}, quick())
		released := false
		release := func() {
			if !released {
				released = true
				close(hold)
			}
		}
		defer release()
		a.links.SetNeighbors([]mustardsaddle.VM{b.vm})
		wait(t, "the link", func() bool { return a.linked("gateway-b") })
		convey.Convey("Sending does not block, the queue stays bounded, and the newest rules arrive in the end", func() {
			text := strings.Repeat("x", 64<<10)
			for range 2000 {
				a.links.Broadcast(news.RuleChange{From: 0, To: 1, In: []news.RuleEdit{{Text: text}}})
			}
			convey.So(a.links.Stats().Dropped, convey.ShouldBeGreaterThan, 0)
			a.change()
			release()
			wait(t, "the newest rules", func() bool { return b.at() == a.at() })
		})
	})
}

// rawPeer introduces itself to n on a connection of the test's own.
func rawPeer(t testing.TB, n *node) *websocket.Conn {
	conn, _, err := websocket.Dial(context.Background(), "ws://"+n.vm.Peer+link.Path, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.CloseNow() })
	b, err := news.NewCodec().Encode(news.Hello{VM: mustardsaddle.VM{Name: "raw", Incarnation: 1}})
	if err != nil {
		t.Fatal(err)
	}
	put(t, conn, b)
	wait(t, "the link", func() bool { return n.linked("raw") })
	return conn
}

func put(t testing.TB, conn *websocket.Conn, b []byte) {
	if err := conn.Write(context.Background(), websocket.MessageBinary, b); err != nil {
		t.Logf("write: %v", err)
	}
}

func TestBadMessages(t *testing.T) {
	timing := link.Timing{Heartbeat: 100 * time.Millisecond, Silence: patience}
	convey.Convey("Given a link to a peer that sends what it must not", t, func() {
		n := newNode(t, "gateway-a", "1", timing)
		conn := rawPeer(t, n)
		convey.Convey("Bad CBOR ends the link, and only this link", func() {
			put(t, conn, []byte("\x9f\xbf\xff"))
			wait(t, "the end", func() bool { return !n.linked("raw") })
			rawPeer(t, n)
		})
		convey.Convey("An oversize message ends the link", func() {
			put(t, conn, make([]byte, news.MaxBytes+1))
			wait(t, "the end", func() bool { return !n.linked("raw") })
		})
		convey.Convey("A newer format and an unknown type are passed over, and the link stays", func() {
			for _, v := range []map[string]any{
				{"Format": 2, "Type": "RuleChange", "Body": map[string]any{"From": 0, "To": 9}},
				{"Format": 1, "Type": "Weather", "Body": 1},
				{"Format": 1, "Type": "RuleChange", "Body": map[string]any{"From": 0, "To": 1}},
			} {
				b, err := cbor.Marshal(v)
				convey.So(err, convey.ShouldBeNil)
				put(t, conn, b)
			}
			wait(t, "the change", func() bool { return n.at() == 1 })
			convey.So(n.linked("raw"), convey.ShouldBeTrue)
			convey.So(n.links.Stats().Refused, convey.ShouldEqual, 1)
		})
	})
	convey.Convey("Given a connection that does not begin with Hello", t, func() {
		n := newNode(t, "gateway-a", "1", timing)
		conn, _, err := websocket.Dial(context.Background(), "ws://"+n.vm.Peer+link.Path, nil)
		convey.So(err, convey.ShouldBeNil)
		b, err := news.NewCodec().Encode(news.RuleChange{From: 0, To: 1})
		convey.So(err, convey.ShouldBeNil)
		put(t, conn, b)
		convey.Convey("It is closed and nothing of it is used", func() {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			for err == nil {
				_, _, err = conn.Read(ctx)
			}
			convey.So(ctx.Err(), convey.ShouldBeNil)
			convey.So(n.at(), convey.ShouldEqual, 0)
			convey.So(n.links.Peers(), convey.ShouldBeEmpty)
		})
	})
}

func TestTooManyLinks(t *testing.T) {
	convey.Convey("Given a gateway with as many connections as it takes, none introduced", t, func() {
		n := newNode(t, "gateway-a", "1", link.Timing{Heartbeat: 100 * time.Millisecond, Silence: patience})
		for range maxLinks {
			conn, _, err := websocket.Dial(context.Background(), "ws://"+n.vm.Peer+link.Path, nil)
			convey.So(err, convey.ShouldBeNil)
			t.Cleanup(func() { _ = conn.CloseNow() })
		}
		convey.Convey("One more is refused at once, and it can still dial", func() {
			_, resp, err := websocket.Dial(context.Background(), "ws://"+n.vm.Peer+link.Path, nil)
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(resp.StatusCode, convey.ShouldEqual, http.StatusServiceUnavailable)
			b := newNode(t, "gateway-b", "1", quick())
			n.links.SetNeighbors([]mustardsaddle.VM{b.vm})
			wait(t, "the link", func() bool { return n.linked("gateway-b") })
		})
	})
}

func TestBothDial(t *testing.T) {
	convey.Convey("Given two gateways that dial each other, one by its address alone", t, func() {
		a, b := newNode(t, "gateway-a", "1", quick()), newNode(t, "gateway-b", "1", quick())
		a.links.SetNeighbors([]mustardsaddle.VM{{Peer: b.vm.Peer}, b.vm})
		b.links.SetNeighbors([]mustardsaddle.VM{{Peer: a.vm.Peer}, a.vm})
		wait(t, "the link", func() bool { return a.linked("gateway-b") && b.linked("gateway-a") })
		convey.Convey("One link stays", func() {
			for range 20 {
				dials := a.links.Stats().Dials + b.links.Stats().Dials
				from := a.count(news.TypeHeartbeat)
				wait(t, "heartbeats", func() bool { return a.count(news.TypeHeartbeat) >= from+10 })
				if a.links.Stats().Dials+b.links.Stats().Dials == dials {
					return
				}
			}
			t.Fatal("the gateways dial each other again and again")
		})
	})
}

func TestDroppedNeighborIsClosed(t *testing.T) {
	convey.Convey("Given a link that is no longer wanted", t, func() {
		a, b, _ := pair(t, quick())
		a.links.SetNeighbors(nil)
		wait(t, "the end", func() bool { return !a.linked("gateway-b") && !b.linked("gateway-a") })
	})
}

// mesh starts n nodes with the links that Neighbors gives, each over a relay.
func mesh(t testing.TB, n int, timing link.Timing) ([]*node, []*relay.Relay) {
	var nodes []*node
	var relays []*relay.Relay
	var vms []mustardsaddle.VM
	for i := range n {
		nodes = append(nodes, newNode(t, fmt.Sprintf("gateway-%02d", i), fmt.Sprintf("zone-%d", i%3), timing))
		vms = append(vms, nodes[i].vm)
	}
	for _, from := range nodes {
		neighbors := roster.Neighbors(vms, from.vm.Name, roster.NeighborConfig{})
		for i, to := range neighbors {
			r := newRelay(t, to.Peer)
			relays = append(relays, r)
			neighbors[i].Peer = r.Address()
		}
		from.links.SetNeighbors(neighbors)
	}
	for _, from := range nodes {
		want := len(roster.Neighbors(vms, from.vm.Name, roster.NeighborConfig{}))
		wait(t, "the mesh", func() bool { return len(from.links.Peers()) == want })
	}
	return nodes, relays
}

func TestSeventeenGatewaysConverge(t *testing.T) {
	convey.Convey("Given seventeen gateways at the default timing, one link silent and one cut", t, func() {
		nodes, relays := mesh(t, 17, link.Timing{})
		silent := slices.IndexFunc(relays, func(r *relay.Relay) bool { return r.Silence() > 0 })
		relays[(silent+7)%len(relays)].Reset()
		convey.Convey("Changes from several gateways are in force on all within the promised time", func() {
			for i := range 3 {
				begin := time.Now()
				nodes[5*i].change()
				for _, n := range nodes {
					wait(t, "the change", func() bool { return n.at() == int64(i+1) })
				}
				took := time.Since(begin)
				t.Logf("change %d in force on all after %v", i+1, took)
				convey.So(took, convey.ShouldBeLessThan, promise)
			}
		})
	})
}
