package main_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/product/admin"
	"mustardsaddle.example/mustardsaddle/internal/standin/platform"
	"mustardsaddle.example/mustardsaddle/internal/standin/relay"
	"mustardsaddle.example/mustardsaddle/internal/standin/server"
)

// patience bounds waits for what must happen at some time.
const patience = 30 * time.Second

// promise is the time within which a change is in force, and a leaving server
// receives no new request.
const promise = 5 * time.Second

// listLag is how late the platform's list shows a change.
const listLag = 300 * time.Millisecond

// stopLag is how long a gateway that stops still accepts calls.
const stopLag = time.Second

// binaries is the directory of the programs, built once.
var binaries string

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
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	binaries = dir
	return m.Run()
}

// process is a running program.
type process struct {
	t     testing.TB
	cmd   *exec.Cmd
	ended chan struct{}
	err   error

	mu  sync.Mutex
	out bytes.Buffer
}

// Write takes the program's output.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out.Write(b)
}

func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out.String()
}

// start runs a program, which is killed when the test ends.
func start(t testing.TB, name string, args ...string) *process {
	p := newProcess(t, name, args...)
	p.cmd.Stdout = p
	p.launch()
	return p
}

// newProcess returns a program that is not running yet, whose messages it keeps.
func newProcess(t testing.TB, name string, args ...string) *process {
	p := &process{t: t, cmd: exec.Command(filepath.Join(binaries, name), args...), ended: make(chan struct{})}
	p.cmd.Stderr = p
	return p
}

// launch runs the program, which is killed when the test ends.
func (p *process) launch() {
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.ended)
	}()
	p.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
	})
}

func (p *process) signal(s syscall.Signal) {
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("signal %v: %v", s, err)
	}
}

// waitEnd waits for the end of the process and returns its error.
func (p *process) waitEnd(d time.Duration) error {
	select {
	case <-p.ended:
		return p.err
	case <-time.After(d):
		p.t.Fatalf("%s still runs after %v; it wrote:\n%s", p.cmd.Path, d, tail(p.output()))
		return nil
	}
}

// logged returns the newest log line with an event's name.
func (p *process) logged(name string) (map[string]any, bool) {
	var found map[string]any
	scanner := bufio.NewScanner(strings.NewReader(p.output()))
	for scanner.Scan() {
		var line map[string]any
		if json.Unmarshal(scanner.Bytes(), &line) == nil && line["Name"] == name {
			found = line
		}
	}
	return found, found != nil
}

func tail(s string) string {
	const most = 4000
	return s[max(0, len(s)-most):]
}

// endpoint is a stand-in server process.
type endpoint struct {
	*process
	// address is its own, which the list need not show, and args are those of its
	// program.
	address string
	args    []string
	machine mustardsaddle.Machine
	link    *relay.Relay
}

// instance is a gateway process.
type instance struct {
	*process
	name, url, admin, settings string
	machine                    mustardsaddle.Machine
	// store is the gateway's own way to the platform. Callers and other gateways
	// come over relays too if the system is relayed.
	store, callers, peers *relay.Relay
	// former are the earlier lives of its process.
	former []*process
}

// system is a small whole system of processes.
type system struct {
	t        testing.TB
	platform string
	// relayed puts a relay before each server and gateway, and extra holds more
	// sections of the gateways' settings.
	relayed  bool
	extra    string
	servers  []*endpoint
	gateways []*instance
}

const rules = `# Generation 0
Path=/rosters Service=Booking Deadline=10s # Mei Lin: members browse rosters
Path=/bookings Method=POST Service=Booking Deadline=10s Repeat=No # Tan: book a lathe
Path=/videos Service=Booking Deadline=60s # Ana: induction videos
`

// newSystem starts a platform, servers and gateways, and waits until every
// gateway knows all servers and answers calls.
func newSystem(t testing.TB, servers, gateways int, serverArgs ...string) *system {
	return newLaggingSystem(t, listLag, 0, servers, gateways, serverArgs...)
}

// newLaggingSystem is newSystem with a platform whose list lags by the given time,
// and with servers that are listed one after another at least gap apart.
func newLaggingSystem(t testing.TB, lag, gap time.Duration, servers, gateways int, serverArgs ...string) *system {
	s := &system{t: t}
	s.platform = "http://" + listening(start(t, "standin", "platform", "--listen", "127.0.0.1:0", "--lag", lag.String()))
	for i := range servers {
		s.addServer(i, serverArgs...)
		time.Sleep(gap)
	}
	s.submit(rules)
	for i := range gateways {
		s.addGateway(i)
	}
	for _, g := range s.gateways {
		s.startGateway(g)
	}
	for _, g := range s.gateways {
		s.wait("gateway "+g.name+" to know the servers", func() bool { return len(g.servers()) == servers })
		s.wait("gateway "+g.name+" to answer", func() bool { return g.ready() && get(g.url+"/rosters").ok() })
	}
	return s
}

// listening waits for a stand-in to print its address.
func listening(p *process) string {
	const mark = "listens on "
	deadline := time.Now().Add(patience)
	for time.Now().Before(deadline) {
		if _, rest, ok := strings.Cut(p.output(), mark); ok {
			if address, _, ok := strings.Cut(rest, "\n"); ok {
				return address
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	p.t.Fatalf("%s does not listen; it wrote:\n%s", p.cmd.Path, p.output())
	return ""
}

// addServer starts a server and lists it.
func (s *system) addServer(i int, args ...string) *endpoint {
	name := fmt.Sprintf("booking-%02d", i)
	e := &endpoint{address: freeAddress(s.t), machine: mustardsaddle.Machine{
		Name: name, Incarnation: 1, Zone: "zone-a", Service: "Booking", Slots: 2, Connections: 200,
	}}
	e.args = append([]string{"server", "--listen", e.address, "--name", name, "--queue", "50"}, args...)
	s.startServer(e)
	e.machine.Address = e.address
	if s.relayed {
		e.link = newRelay(s.t, e.address)
		e.machine.Address = e.link.Address()
	}
	s.servers = append(s.servers, e)
	s.list(e.machine)
	return e
}

// startServer starts a server's program and waits until it listens.
func (s *system) startServer(e *endpoint) {
	e.process = start(s.t, "standin", e.args...)
	listening(e.process)
}

// freeAddress returns an address for a gateway. Its IP number, on the loopback
// network, is drawn at random, so that no outgoing connection, whose number is
// 127.0.0.1, can take the port before the gateway does.
func freeAddress(t testing.TB) string {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// addGateway writes the settings of a gateway and lists its VM.
func (s *system) addGateway(i int) *instance {
	g := &instance{name: fmt.Sprintf("gateway-%d", i+1), store: newRelay(s.t, strings.TrimPrefix(s.platform, "http://"))}
	listen, admin, links := freeAddress(s.t), freeAddress(s.t), freeAddress(s.t)
	callers, peer := listen, links
	if s.relayed {
		g.callers, g.peers = newRelay(s.t, listen), newRelay(s.t, links)
		callers, peer = g.callers.Address(), g.peers.Address()
	}
	g.url, g.admin = "http://"+callers, "http://"+admin
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
[Service Booking]
NotRunStatus = 503
NotRunHeader = Endpoint-Not-Run
%s`, g.name, zone, listen, admin, peer, links, g.store.Address(), stopLag, s.extra)
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	g.machine = mustardsaddle.Machine{Name: g.name, Incarnation: 1, Zone: zone, Address: peer}
	s.list(g.machine)
	s.gateways = append(s.gateways, g)
	return g
}

func (s *system) startGateway(g *instance) {
	if g.process != nil {
		g.former = append(g.former, g.process)
	}
	g.process = start(s.t, "mustardsaddle", "serve", "--settings", g.settings)
}

// history returns what all lives of the gateway wrote.
func (g *instance) history() string {
	var b strings.Builder
	for _, p := range append(slices.Clone(g.former), g.process) {
		b.WriteString(p.output())
	}
	return b.String()
}

// list puts a VM into the platform's list.
func (s *system) list(m mustardsaddle.Machine) {
	s.putJSON(s.platform+"/machines/"+m.Name, m)
}

func (s *system) submit(text string) {
	s.put(s.platform+"/objects/Rules/Submitted", []byte(text))
}

func (s *system) fault(f platform.Fault) {
	s.putJSON(s.platform+"/faults", f)
}

func (s *system) mode(e *endpoint, m server.Mode) {
	s.putJSON("http://"+e.address+"/mode", m)
}

// requests returns how many requests a server received, run or refused. Load
// probes are not requests.
func (s *system) requests(e *endpoint) int64 {
	c := s.count(e)
	return c.Total + c.Shed
}

func (s *system) count(e *endpoint) server.Count {
	a := get("http://" + e.address + "/count")
	var c server.Count
	if err := json.Unmarshal(a.body, &c); err != nil {
		s.t.Fatalf("count of %s: %v %v", e.machine.Name, err, a)
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
	if a := s.tryPut(url, b); a.err != nil || a.status >= 300 {
		s.t.Fatalf("put %s: %v", url, a)
	}
}

func (s *system) tryPut(url string, b []byte) answer {
	return call(context.Background(), http.DefaultClient, http.MethodPut, url, bytes.NewReader(b))
}

// wait polls until the condition holds, and returns how long it took.
func (s *system) wait(what string, ok func() bool) time.Duration {
	s.t.Helper()
	begin := time.Now()
	for !ok() {
		if time.Since(begin) > patience {
			for _, g := range s.gateways {
				if g.process != nil {
					s.t.Logf("%s wrote:\n%s", g.name, tail(g.output()))
				}
			}
			s.t.Fatalf("waited %v for %s", patience, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(begin)
}

func (g *instance) ready() bool {
	return get(g.admin+"/readyz").status == http.StatusOK
}

// generation returns the generation that the gateway has in force, or -1 if the
// gateway does not say.
func (g *instance) generation() int64 {
	n, err := strconv.ParseInt(get(g.admin+"/rules").header.Get(admin.GenerationHeader), 10, 64)
	if err != nil {
		return -1
	}
	return n
}

// answer is what a caller got.
type answer struct {
	err    error
	status int
	header http.Header
	body   []byte
}

func (a answer) ok() bool {
	return a.err == nil && a.status == http.StatusOK
}

// String returns a short text for failures.
func (a answer) String() string {
	return fmt.Sprintf("status %d, error %v, header %v, %d bytes", a.status, a.err, a.header, len(a.body))
}

func get(url string) answer {
	return call(context.Background(), http.DefaultClient, http.MethodGet, url, nil)
}

// call makes one request and reads the whole answer.
func call(ctx context.Context, client *http.Client, method, url string, body io.Reader) answer {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return answer{err: err}
	}
	resp, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return answer{err: err, status: resp.StatusCode, header: resp.Header, body: b}
}

// newRelay starts a relay to a target, which ends with the test.
func newRelay(t testing.TB, target string) *relay.Relay {
	r, err := relay.New(context.Background(), target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// servers returns the servers that the gateway knows, or none if it does not say.
func (g *instance) servers() []mustardsaddle.Server {
	var servers []mustardsaddle.Server
	if json.Unmarshal(get(g.admin+"/servers").body, &servers) != nil {
		return nil
	}
	return servers
}

// leaving reports whether the gateway shows a server as leaving.
func (g *instance) leaving(name string) bool {
	servers := g.servers()
	at := slices.IndexFunc(servers, func(s mustardsaddle.Server) bool { return s.Name == name })
	return at >= 0 && servers[at].Leaving
}
