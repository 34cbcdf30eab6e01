package link_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/catalog"
	"mustardsaddle.example/mustardsaddle/internal/control/roster"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/peer/link"
	"mustardsaddle.example/mustardsaddle/internal/peer/news"
)

// member is a gateway that has its rules from a directory or from its peers.
type member struct {
	vm      mustardsaddle.VM
	links   *link.Links
	catalog *catalog.Catalog
	// generation is that of the rules in force.
	generation atomic.Int64
	// asked counts the requests for all rules that this gateway has sent.
	asked atomic.Int64
}

// startMember starts a gateway without links, which ends with the test.
func startMember(t testing.TB, name, zone string, timing link.Timing) *member {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &member{vm: mustardsaddle.VM{Name: name, Incarnation: 1, Zone: zone, Peer: listener.Addr().String()}}
	m.catalog = catalog.New(catalog.Config{
		Self: name, Incarnation: 1, InForce: func(t *rule.Table) { m.generation.Store(t.File.Generation) },
		Servers: func(time.Time, string, []mustardsaddle.Server) {}, Forward: m.forward, Logger: zerolog.Nop(),
	})
	m.links = link.New(link.Config{Self: m.vm, Summary: m.summary, Receive: m.receive, Known: m.known, Timing: timing, Logger: zerolog.Nop()})
	router := mux.NewRouter()
	m.links.Mount(router)
	server := &http.Server{Handler: router}
	serveErr, runErr := make(chan error, 1), make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { serveErr <- server.Serve(listener) }()
	go func() { runErr <- m.links.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-runErr; err != nil {
			t.Errorf("Run: %v", err)
		}
		_ = server.Close()
		if err := <-serveErr; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("Serve: %v", err)
		}
	})
	return m
}

func (m *member) summary() news.Summary {
	return news.Summary{Rules: news.NewKnown(m.catalog.Known(time.Now(), mustardsaddle.RulesCollection))}
}

// forward sends an update to all peers but the one it came from.
func (m *member) forward(from string, c mustardsaddle.Collection, u mustardsaddle.Update) {
	var to []string
	for _, peer := range m.links.Peers() {
		if peer != from {
			to = append(to, peer)
		}
	}
	m.links.SendAll(to, news.NewListing(c, u))
}

func (m *member) receive(now time.Time, from string, msg news.Message) {
	switch msg := msg.(type) {
	case news.Hello:
		m.compare(now, from, msg.Summary)
	case news.Heartbeat:
		m.compare(now, from, msg.Summary)
	case news.Listing:
		if m.catalog.Receive(now, from, msg.Collection(), msg.Update()) {
			m.ask(from)
		}
	case news.AskListing:
		if u, ok := m.catalog.CollectionSnapshot(now, msg.Collection()); ok {
			m.links.Send(from, news.NewListing(msg.Collection(), u))
		}
	}
}

// known reports whether a large message brings nothing new.
func (m *member) known(now time.Time, head news.Message) bool {
	listing, ok := head.(news.Listing)
	return ok && m.catalog.ReceiveHead(now, listing.Collection(), listing.Update())
}

func (m *member) compare(now time.Time, from string, theirs news.Summary) {
	if m.catalog.ReceiveState(now, mustardsaddle.RulesCollection, theirs.Rules.State()) {
		m.ask(from)
	}
}

func (m *member) ask(peer string) {
	m.asked.Add(1)
	m.links.Send(peer, news.AskListing{})
}

// read makes the gateway read a version of the rules from the directory.
func (m *member) read(t testing.TB, after, revision int64, routes int) {
	now := time.Now()
	u := mustardsaddle.Update{
		Whole: after == 0, After: mustardsaddle.Position{Revision: after}, Position: mustardsaddle.Position{Revision: revision},
		Rules: &mustardsaddle.RulesText{Generation: revision, Text: manyRoutes(routes)},
	}
	if err := m.catalog.ReceiveResponse(now, now, mustardsaddle.RulesCollection, u); err != nil {
		t.Fatal(err)
	}
}

// manyRoutes returns rules with the given number of routes.
func manyRoutes(n int) string {
	var b strings.Builder
	for i := range n {
		_, _ = fmt.Fprintf(&b, "Host=shop%d.example Prefix=/items%d/ Service=%s Deadline=2.5s Repeat=Yes Attempts=3 Target=600ms Priority=%d # Mei Lin: route r%d\n",
			i%97, i*7919%9973, []string{"Rosters", "Booking", "Photos"}[i%3], i%3, i)
	}
	return b.String()
}

const (
	// fewRoutes is the number of routes with which a fleet starts, and newRoutes the number that
	// a large version adds.
	fewRoutes = 100
	newRoutes = 1400
)

// startFleet starts n gateways in three zones with the links that roster.Neighbors selects, and
// with the same rules in force.
func startFleet(t testing.TB, n int, timing link.Timing) []*member {
	var members []*member
	var vms []mustardsaddle.VM
	for i := range n {
		m := startMember(t, fmt.Sprintf("gateway-%03d", i), fmt.Sprintf("zone-%d", i%3), timing)
		m.read(t, 0, 1, fewRoutes)
		members, vms = append(members, m), append(vms, m.vm)
	}
	for _, m := range members {
		m.links.SetNeighbors(roster.Neighbors(vms, m.vm.Name, roster.NeighborConfig{}))
	}
	for _, m := range members {
		want := len(roster.Neighbors(vms, m.vm.Name, roster.NeighborConfig{}))
		waitFor(t, "all links to come up", func() bool { return len(m.links.Peers()) == want })
	}
	return members
}

// totals returns the sums of the counters of all gateways, and how often they asked for all rules.
func totals(members []*member) (sum link.Stats, asked int64) {
	for _, m := range members {
		s := m.links.Stats()
		sum.SentMessages += s.SentMessages
		sum.ReceivedMessages += s.ReceivedMessages
		sum.SentBytes += s.SentBytes
		sum.ReceivedBytes += s.ReceivedBytes
		sum.Compressed += s.Compressed
		sum.Decompressed += s.Decompressed
		asked += m.asked.Load()
	}
	return sum, asked
}

// awaitGeneration waits until all gateways have a generation in force, and returns how long
// that took. The gateways of a large fleet share few processors, so it may take long.
func awaitGeneration(t testing.TB, members []*member, generation int64) time.Duration {
	t.Helper()
	const limit = 2 * time.Minute
	begin := time.Now()
	for _, m := range members {
		for m.generation.Load() < generation {
			if time.Since(begin) > limit {
				t.Fatalf("gateway %s: got generation %d after %v, want %d", m.vm.Name, m.generation.Load(), limit, generation)
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
	return time.Since(begin)
}

// awaitQuiet waits until every message that was sent has been received.
func awaitQuiet(t testing.TB, members []*member) {
	t.Helper()
	const checks = 20
	quiet, before := 0, link.Stats{}
	waitFor(t, "all messages to arrive", func() bool {
		sum, _ := totals(members)
		if sum != before || sum.SentMessages != sum.ReceivedMessages {
			quiet = 0
		}
		before = sum
		quiet++
		return quiet > checks
	})
}

// startLargeVersion starts a fleet, has one gateway read a version of the rules with many new
// routes, and waits until all have it in force. Only the changes of the rules and the answers to
// them cross the links, since heartbeats are far apart. It returns the gateways and what each has
// used since it was linked.
func startLargeVersion(t testing.TB, n int) ([]*member, []link.Stats) {
	members := startFleet(t, n, link.Timing{Heartbeat: 10 * time.Minute})
	awaitQuiet(t, members)
	var before []link.Stats
	for _, m := range members {
		before = append(before, m.links.Stats())
	}
	members[0].read(t, 1, 2, fewRoutes+newRoutes)
	awaitGeneration(t, members, 2)
	awaitQuiet(t, members)
	var used []link.Stats
	for i, m := range members {
		after := m.links.Stats()
		used = append(used, link.Stats{
			Compressed: after.Compressed - before[i].Compressed, Decompressed: after.Decompressed - before[i].Decompressed,
			SentBytes: after.SentBytes - before[i].SentBytes, ReceivedBytes: after.ReceivedBytes - before[i].ReceivedBytes,
		})
	}
	return members, used
}

// largeVersionBytes returns the size of the message that startLargeVersion sends.
func largeVersionBytes(t testing.TB) int {
	from, _, _ := rule.ParseDirectory(manyRoutes(fewRoutes))
	to, _, _ := rule.ParseDirectory(manyRoutes(fewRoutes + newRoutes))
	change := mustardsaddle.RuleChange(rule.Diff(from.WithGeneration(1), to.WithGeneration(2)))
	encoded, err := news.NewCodec().Encode(news.NewListing(mustardsaddle.RulesCollection, mustardsaddle.Update{
		After: mustardsaddle.Position{Revision: 1}, Position: mustardsaddle.Position{Revision: 2}, RuleChange: &change,
	}))
	if err != nil {
		t.Fatal(err)
	}
	return len(encoded)
}

// fleetSize is the number of gateways in tests, each of which has several neighbors.
const fleetSize = 24

// TestLargeVersionIsDecodedOnce guards against a gateway that spends its processor on each copy of
// a large version of the rules that its neighbors send, instead of on its callers.
func TestLargeVersionIsDecodedOnce(t *testing.T) {
	members, used := startLargeVersion(t, fleetSize)
	for i, u := range used {
		if u.Decompressed > 1 {
			t.Errorf("gateway %s: got %d copies decompressed, want at most 1", members[i].vm.Name, u.Decompressed)
		}
	}
}

// TestLargeVersionIsCompressedOnce guards against each gateway of a fleet compressing a large
// version of the rules anew that it has received compressed.
func TestLargeVersionIsCompressedOnce(t *testing.T) {
	members, used := startLargeVersion(t, fleetSize)
	for i, u := range used {
		want := int64(0)
		if i == 0 {
			want = 1
		}
		if u.Compressed > want {
			t.Errorf("gateway %s: got %d messages compressed, want at most %d", members[i].vm.Name, u.Compressed, want)
		}
	}
}

// TestLargeVersionCrossesFewLinks guards against a large version of the rules filling the slow
// links of a gateway, because each neighbor sends it a copy.
func TestLargeVersionCrossesFewLinks(t *testing.T) {
	const maxCopies = 2
	size := largeVersionBytes(t)
	members, used := startLargeVersion(t, fleetSize)
	for i, u := range used {
		if limit := int64(maxCopies * size); u.ReceivedBytes > limit {
			t.Errorf("gateway %s: got %d bytes received, want at most %d", members[i].vm.Name, u.ReceivedBytes, limit)
		}
	}
}

// usage is what a fleet has used since it started.
type usage struct {
	at    time.Time
	stats link.Stats
	asked int64
	cpu   time.Duration
}

func usageOf(b *testing.B, members []*member) usage {
	stats, asked := totals(members)
	return usage{at: time.Now(), stats: stats, asked: asked, cpu: cpuTime(b)}
}

// BenchmarkVersion measures what a version of the rules with many new routes costs each gateway
// of a fleet, beyond what an idle fleet uses in the same time, and how long it takes until all
// have it in force. All gateways run in this process.
func BenchmarkVersion(b *testing.B) {
	const settle = 4 * time.Second
	for _, n := range []int{101, 311} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			members := startFleet(b, n, link.Timing{Heartbeat: 400 * time.Millisecond, SilenceTimeout: 5 * time.Second})
			time.Sleep(settle)
			revision, routes := int64(1), fewRoutes
			for b.Loop() {
				before := usageOf(b, members)
				time.Sleep(settle)
				idle := usageOf(b, members)
				routes = fewRoutes + newRoutes - (routes - fewRoutes)
				members[0].read(b, revision, revision+1, routes)
				revision++
				took := awaitGeneration(b, members, revision)
				time.Sleep(settle)
				after := usageOf(b, members)
				gateways := float64(n)
				times := float64(after.at.Sub(idle.at)) / float64(idle.at.Sub(before.at))
				idleBytes := times * float64(idle.stats.SentBytes-before.stats.SentBytes)
				idleCPU := times * float64(idle.cpu-before.cpu)
				b.ReportMetric(float64(after.stats.Compressed-idle.stats.Compressed)/gateways, "compressed")
				b.ReportMetric(float64(after.stats.Decompressed-idle.stats.Decompressed)/gateways, "decompressed")
				b.ReportMetric(float64(after.asked-idle.asked)/gateways, "asked")
				b.ReportMetric((float64(after.stats.SentBytes-idle.stats.SentBytes)-idleBytes)/gateways, "sent-bytes")
				b.ReportMetric((float64(after.cpu-idle.cpu)-idleCPU)/float64(time.Millisecond)/gateways, "cpu-ms")
				b.ReportMetric(float64(took.Milliseconds()), "ms-all")
			}
		})
	}
}
