package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/product/admin"
	"mustardsaddle.example/mustardsaddle/internal/standin/platform"
	"mustardsaddle.example/mustardsaddle/internal/standin/relay"
	"mustardsaddle.example/mustardsaddle/internal/standin/server"
)

// waitTimeout bounds waits for expected events.
const waitTimeout = 30 * time.Second

// propagationLimit is the guaranteed maximum time until a rule change takes
// effect on all gateways, and until a server that leaves receives no new
// requests.
const propagationLimit = 5 * time.Second

// listLag is the delay before a change appears in the platform's list of VMs.
const listLag = 300 * time.Millisecond

// stopLag is how long a stopping gateway still accepts connections.
const stopLag = time.Second

// binDir is the directory of the programs, which are built once for all tests.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "mustardsaddle")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir+"/", "./cmd/...")
	build.Dir = "../.."
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, out)
		return 1
	}
	binDir = dir
	return m.Run()
}

// endpoint is a simulated endpoint server process.
type endpoint struct {
	*process
	// address is where the server listens; the listed address can be that of its
	// relay.
	address string
	// args are the command-line arguments, for restarts.
	args    []string
	machine mustardsaddle.Machine
	relay   *relay.Relay
}

// gateway is a gateway process.
type gateway struct {
	*process
	// settings is the path of the settings file.
	name, url, admin, settings string
	machine                    mustardsaddle.Machine
	// storeRelay carries the gateway's connections to the platform. callerRelay
	// and peerRelay carry those of callers and of other gateways; they are nil
	// unless system.relayed is set.
	storeRelay, callerRelay, peerRelay *relay.Relay
	// previous are the earlier processes of a restarted gateway.
	previous []*process
}

// system is a complete deployment of processes: a platform, endpoint servers
// and gateways.
type system struct {
	t        testing.TB
	platform string
	// relayed puts a relay in front of each server and gateway.
	relayed bool
	// extraSettings is appended to the settings of each gateway.
	extraSettings string
	// grace is the grace period of each gateway; 0 for none.
	grace    time.Duration
	servers  []*endpoint
	gateways []*gateway
}

const rules = `# Generation 0
Path=/rosters Service=Booking Deadline=10s # Mei Lin: members browse rosters
Path=/bookings Method=POST Service=Booking Deadline=10s Repeat=No # Tan: book a lathe
Path=/videos Service=Booking Deadline=60s # Ana: induction videos
`

// newSystem starts a platform, servers and gateways. It returns when every
// gateway knows all servers and serves calls.
func newSystem(t testing.TB, servers, gateways int, serverArgs ...string) *system {
	return newSystemWithLag(t, listLag, 0, servers, gateways, serverArgs...)
}

// newSystemWithLag is like newSystem, but with the given lag of the platform's
// list of VMs and at least the given gap between the listings of two servers.
func newSystemWithLag(t testing.TB, lag, gap time.Duration, servers, gateways int, serverArgs ...string) *system {
	s := &system{t: t}
	s.platform = "http://" + waitListening(startProcess(t, "standin", "platform", "--listen", "127.0.0.1:0", "--lag", lag.String()))
	for i := range servers {
		s.addServer(i, serverArgs...)
		time.Sleep(gap)
	}
	s.submitRules(rules)
	for i := range gateways {
		s.addGateway(i)
	}
	for _, g := range s.gateways {
		s.startGateway(g)
	}
	for _, g := range s.gateways {
		s.waitFor("gateway "+g.name+" to know all servers", func() bool { return len(g.knownServers()) == servers })
		s.waitFor("gateway "+g.name+" to serve calls", func() bool { return g.ready() && get(g.url+"/rosters").ok() })
	}
	return s
}

// addServer starts a server and adds it to the list of VMs.
func (s *system) addServer(i int, args ...string) *endpoint {
	name := fmt.Sprintf("booking-%02d", i)
	e := &endpoint{address: freeAddress(s.t), machine: mustardsaddle.Machine{
		Name: name, Incarnation: 1, Zone: "zone-a", Service: "Booking", Slots: 2, Connections: 200,
	}}
	e.args = append([]string{"server", "--listen", e.address, "--name", name, "--queue", "50"}, args...)
	s.startServer(e)
	e.machine.Address = e.address
	if s.relayed {
		e.relay = newRelay(s.t, e.address)
		e.machine.Address = e.relay.Address()
	}
	s.servers = append(s.servers, e)
	s.listMachine(e.machine)
	return e
}

// startServer starts the process of a server and waits until it listens.
func (s *system) startServer(e *endpoint) {
	e.process = startProcess(s.t, "standin", e.args...)
	waitListening(e.process)
}

// addGateway writes the settings file of a gateway and adds its VM to the list.
// It does not start the process.
func (s *system) addGateway(i int) *gateway {
	g := &gateway{name: fmt.Sprintf("gateway-%d", i+1), storeRelay: newRelay(s.t, strings.TrimPrefix(s.platform, "http://"))}
	listen, admin, peerListen := freeAddress(s.t), freeAddress(s.t), freeAddress(s.t)
	callerAddress, peerAddress := listen, peerListen
	if s.relayed {
		g.callerRelay, g.peerRelay = newRelay(s.t, listen), newRelay(s.t, peerListen)
		callerAddress, peerAddress = g.callerRelay.Address(), g.peerRelay.Address()
	}
	g.url, g.admin = "http://"+callerAddress, "http://"+admin
	zone := fmt.Sprintf("zone-%c", 'a'+i%3)
	g.settings = filepath.Join(s.t.TempDir(), g.name+".ini")
	text := fmt.Sprintf(`[Gateway]
Name = %s
Zone = %s
Listen = %s
Admin = %s
Peer = %s
PeerListen = %s
[Platform]
URL = http://%s
Timeout = 500ms
Poll = 500ms
[Stop]
Lag = %v
Grace = %v
[Service Booking]
NotRunStatus = 503
NotRunHeader = Endpoint-Not-Run
%s`, g.name, zone, listen, admin, peerAddress, peerListen, g.storeRelay.Address(), stopLag, s.grace, s.extraSettings)
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	g.machine = mustardsaddle.Machine{Name: g.name, Incarnation: 1, Zone: zone, Address: peerAddress}
	s.listMachine(g.machine)
	s.gateways = append(s.gateways, g)
	return g
}

// startGateway starts or restarts the process of a gateway.
func (s *system) startGateway(g *gateway) {
	if g.process != nil {
		g.previous = append(g.previous, g.process)
	}
	g.process = startProcess(s.t, "mustardsaddle", "serve", "--settings", g.settings)
}

// fullOutput returns the output of all processes of the gateway, in order.
func (g *gateway) fullOutput() string {
	var b strings.Builder
	for _, p := range append(slices.Clone(g.previous), g.process) {
		b.WriteString(p.output())
	}
	return b.String()
}

// listMachine adds or updates a VM in the platform's list.
func (s *system) listMachine(m mustardsaddle.Machine) {
	s.putJSON(s.platform+"/machines/"+m.Name, m)
}

// submitRules submits a rules file.
func (s *system) submitRules(text string) {
	s.put(s.platform+"/objects/Rules/Submitted", []byte(text))
}

// setPlatformFault replaces the faults of the platform.
func (s *system) setPlatformFault(f platform.Fault) {
	s.putJSON(s.platform+"/faults", f)
}

// setMode replaces the mode of a server.
func (s *system) setMode(e *endpoint, m server.Mode) {
	s.putJSON("http://"+e.address+"/mode", m)
}

// requestsReceived returns the number of requests that a server received,
// including shed ones. Probes and load queries do not count.
func (s *system) requestsReceived(e *endpoint) int64 {
	c := s.counts(e)
	return c.Total + c.Shed
}

// counts returns the counters of a server.
func (s *system) counts(e *endpoint) server.Count {
	resp := get("http://" + e.address + "/count")
	var c server.Count
	if err := json.Unmarshal(resp.body, &c); err != nil {
		s.t.Fatalf("read the counters of %s: %v %v", e.machine.Name, err, resp)
	}
	return c
}

func (s *system) putJSON(url string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		s.t.Fatal(err)
	}
	s.put(url, b)
}

func (s *system) put(url string, b []byte) {
	if resp := s.tryPut(url, b); resp.err != nil || resp.status >= 300 {
		s.t.Fatalf("put %s: %v", url, resp)
	}
}

func (s *system) tryPut(url string, b []byte) response {
	return sendRequest(context.Background(), http.DefaultClient, http.MethodPut, url, bytes.NewReader(b))
}

// waitFor polls until the condition holds and returns how long that took. It
// fails the test after waitTimeout.
func (s *system) waitFor(what string, ok func() bool) time.Duration {
	s.t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > waitTimeout {
			for _, g := range s.gateways {
				if g.process != nil {
					s.t.Logf("output of %s:\n%s", g.name, tail(g.output()))
				}
			}
			s.t.Fatalf("timed out after %v waiting for %s", waitTimeout, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

// ready reports whether the gateway's readiness check succeeds.
func (g *gateway) ready() bool {
	return get(g.admin+"/readyz").status == http.StatusOK
}

// generationInForce returns the generation of the rules in force, or -1 if the
// gateway does not respond with one.
func (g *gateway) generationInForce() int64 {
	n, err := strconv.ParseInt(get(g.admin+"/rules").header.Get(admin.GenerationHeader), 10, 64)
	if err != nil {
		return -1
	}
	return n
}

// newRelay starts a relay to a target. It is closed when the test ends.
func newRelay(t testing.TB, target string) *relay.Relay {
	r, err := relay.New(context.Background(), target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// knownServers returns the servers that the gateway knows, or nil if it does
// not respond with a list.
func (g *gateway) knownServers() []mustardsaddle.Server {
	var servers []mustardsaddle.Server
	if json.Unmarshal(get(g.admin+"/servers").body, &servers) != nil {
		return nil
	}
	return servers
}

// seesLeaving reports whether the gateway considers a server as leaving.
func (g *gateway) seesLeaving(name string) bool {
	servers := g.knownServers()
	at := slices.IndexFunc(servers, func(s mustardsaddle.Server) bool { return s.Name == name })
	return at >= 0 && servers[at].Leaving
}
