package command

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
)

const traceAbout = `Shows the log lines of the gateways about one request: each choice of a server
with the load report on which it was based and the age of that report, each
attempt with its outcome, and the response. The lines of each gateway are
preceded by the line about the rules that were in force there, a refusal because of
what servers state by the latest line about each of them, and a refusal because
servers have ended under the same request by the lines about that request. For a request that one
gateway has forwarded to another, name the logs of both, that of the first one first.
Reads the named log files, or standard input if there are none. Lines that are not log lines of
a gateway are skipped and counted.

Examples:
  mustardsaddle trace 9c41d07be2a35f68 gateway-1.log gateway-2.log
  cat *.log | mustardsaddle trace 9c41d07be2a35f68`

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

type trace struct {
	Args struct {
		Request string   `positional-arg-name:"REQUEST" description:"id of the request, as set by the caller, or of an attempt"`
		Files   []string `positional-arg-name:"FILE" description:"log files; standard input by default"`
	} `positional-args:"true" required:"1"`

	cfg Config
}

// logLine holds the fields of a log line that trace uses.
type logLine struct {
	Gateway string
	Event   event.Event
	Request string
	Attempt string
	// FromAttempt is the attempt of the gateway that forwarded the call, if another one did.
	FromAttempt string
	Service     string
	Server      string
	Code        code.Code
	// Digest identifies a request under which a server has ended.
	Digest string
	text   string
}

// serviceOfGateway identifies a service as one gateway sees it.
type serviceOfGateway struct {
	gateway, service string
}

// tracer selects the log lines of one request.
type tracer struct {
	request string
	// rules holds, by gateway, the latest line with event RulesInForce that has not been
	// printed yet.
	rules map[string]string
	// statements holds, by server, the latest lines about what the servers state.
	statements map[serviceOfGateway]map[string]string
	// suspicions holds, by digest, the lines about requests under which servers have ended
	// that have not been printed yet.
	suspicions map[string][]string
	// attempts holds the ids of the known attempts of the request.
	attempts map[string]bool
	out      io.Writer
	found    int
	skipped  int
}

// Execute prints the log lines of the request.
func (c *trace) Execute(args []string) error {
	if err := NoArguments(args); err != nil {
		return err
	}
	tr := &tracer{
		request: c.Args.Request, rules: make(map[string]string), attempts: make(map[string]bool),
		statements: make(map[serviceOfGateway]map[string]string), suspicions: make(map[string][]string), out: c.cfg.Out,
	}
	if err := c.read(tr); err != nil {
		return err
	}
	if tr.skipped > 0 {
		_, _ = fmt.Fprintf(c.cfg.Err, "skipped %d line(s) that are not log lines of a gateway\n", tr.skipped)
	}
	if tr.found == 0 {
		return StatusErrorf(NoMatch, "no log line names request %s", tr.request)
	}
	return nil
}

// read passes all lines of the log files, or of standard input, to the tracer.
func (c *trace) read(tr *tracer) error {
	if len(c.Args.Files) == 0 {
		return tr.scan("standard input", c.cfg.In)
	}
	for _, path := range c.Args.Files {
		f, err := os.Open(path)
		if err != nil {
			return StatusErrorf(Failed, "can't read log: %v", err)
		}
		err = tr.scan(path, f)
		_ = f.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

func (tr *tracer) scan(name string, r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		tr.handleLine(lines.Text())
	}
	if err := lines.Err(); err != nil {
		return StatusErrorf(Failed, "can't read %s: %v", name, err)
	}
	return nil
}

// handleLine handles one line, and prints it if it belongs to the request. Text before
// the first brace, such as a time that a log collector has added, is ignored in
// decoding but printed.
func (tr *tracer) handleLine(text string) {
	l := logLine{text: text}
	start := strings.IndexByte(text, '{')
	if start < 0 || json.Unmarshal([]byte(text[start:]), &l) != nil || l.Gateway == "" {
		tr.skipped++
		return
	}
	if l.Event == event.RulesInForce {
		tr.rules[l.Gateway] = text
		return
	}
	if l.Event == event.ServerStatement || l.Event == event.ServerPause {
		tr.recordStatement(l)
		return
	}
	if isSuspicion(l.Event) {
		tr.suspicions[l.Digest] = append(tr.suspicions[l.Digest], text)
		return
	}
	if !tr.belongs(l) {
		return
	}
	tr.found++
	if rules := tr.rules[l.Gateway]; rules != "" {
		_, _ = fmt.Fprintln(tr.out, rules)
		delete(tr.rules, l.Gateway)
	}
	if l.Code == code.CallLimited {
		tr.printStatements(l)
	}
	tr.printSuspicions(l)
	_, _ = fmt.Fprintln(tr.out, text)
}

// isSuspicion reports whether an event is about a request under which servers have ended.
func isSuspicion(e event.Event) bool {
	return e == event.RequestSuspected || e == event.RequestQuarantined || e == event.RequestRetested || e == event.RequestCleared
}

// printSuspicions prints what was known about the request of a line.
func (tr *tracer) printSuspicions(l logLine) {
	if l.Digest == "" {
		return
	}
	for _, text := range tr.suspicions[l.Digest] {
		_, _ = fmt.Fprintln(tr.out, text)
	}
	delete(tr.suspicions, l.Digest)
}

// belongs reports whether a line is about the request, and records the attempt that it
// names.
func (tr *tracer) belongs(l logLine) bool {
	known := l.Request == tr.request || l.FromAttempt == tr.request || tr.attempts[l.FromAttempt]
	if known && l.Attempt != "" {
		tr.attempts[l.Attempt] = true
	}
	return known || l.Attempt == tr.request || tr.attempts[l.Attempt]
}

// recordStatement keeps a line about what a server states.
func (tr *tracer) recordStatement(l logLine) {
	key := serviceOfGateway{gateway: l.Gateway, service: l.Service}
	if tr.statements[key] == nil {
		tr.statements[key] = make(map[string]string)
	}
	tr.statements[key][l.Server] = l.text
}

// printStatements prints what the servers of the service stated when a call was refused
// for that reason.
func (tr *tracer) printStatements(l logLine) {
	statements := tr.statements[serviceOfGateway{gateway: l.Gateway, service: l.Service}]
	for _, server := range slices.Sorted(maps.Keys(statements)) {
		_, _ = fmt.Fprintln(tr.out, statements[server])
	}
}
