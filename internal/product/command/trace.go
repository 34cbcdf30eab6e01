package command

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"mustardsaddle.example/mustardsaddle/internal/base/event"
)

const traceAbout = `Shows what the gateways logged about one request: each choice of a server with
the load report that decided and its age, each attempt and what became of it, and
the answer. Before these come the rules that were in force in each gateway that
took the request. Reads the log files that are named, or standard input. Lines that
are no log lines of a gateway are passed over and counted.

Examples:
  mustardsaddle trace 9c41d07be2a35f68 gateway-1.log gateway-2.log
  cat *.log | mustardsaddle trace 9c41d07be2a35f68`

// maxLogLine bounds a line of a log.
const maxLogLine = 1 << 20

type trace struct {
	Args struct {
		Request string   `positional-arg-name:"REQUEST" description:"id of the request, as the caller named it, or of an attempt"`
		Files   []string `positional-arg-name:"FILE" description:"log files; none means standard input"`
	} `positional-args:"true" required:"1"`

	cfg Config
}

// logLine is what the trace needs of a log line.
type logLine struct {
	Gateway string
	Event   event.Event
	Request string
	Attempt string
	text    string
}

// tracer picks the lines of one request.
type tracer struct {
	request string
	// rules are the latest lines of RulesInForce by gateway.
	rules map[string]string
	// attempts are the attempts of the request.
	attempts map[string]bool
	out      io.Writer
	found    int
	skipped  int
}

// Execute prints the lines of a request.
func (c *trace) Execute(args []string) error {
	if err := NoArguments(args); err != nil {
		return err
	}
	tr := &tracer{request: c.Args.Request, rules: make(map[string]string), attempts: make(map[string]bool), out: c.cfg.Out}
	if err := c.read(tr); err != nil {
		return err
	}
	if tr.skipped > 0 {
		_, _ = fmt.Fprintf(c.cfg.Err, "passed over %d lines that are no log lines\n", tr.skipped)
	}
	if tr.found == 0 {
		return Failf(NoMatch, "no log line names request %s", tr.request)
	}
	return nil
}

// read passes all lines to the tracer.
func (c *trace) read(tr *tracer) error {
	if len(c.Args.Files) == 0 {
		return tr.scan("standard input", c.cfg.In)
	}
	for _, path := range c.Args.Files {
		f, err := os.Open(path)
		if err != nil {
			return Failf(Failed, "can't read log: %v", err)
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
		tr.line(lines.Text())
	}
	if err := lines.Err(); err != nil {
		return Failf(Failed, "can't read %s: %v", name, err)
	}
	return nil
}

// line takes one line. What stands before its first brace, such as the time that a
// collector adds, is kept.
func (tr *tracer) line(text string) {
	l := logLine{text: text}
	at := strings.IndexByte(text, '{')
	if at < 0 || json.Unmarshal([]byte(text[at:]), &l) != nil || l.Gateway == "" {
		tr.skipped++
		return
	}
	if l.Event == event.RulesInForce {
		tr.rules[l.Gateway] = text
		return
	}
	if l.Request == tr.request && l.Attempt != "" {
		tr.attempts[l.Attempt] = true
	}
	if l.Request != tr.request && l.Attempt != tr.request && !tr.attempts[l.Attempt] {
		return
	}
	tr.found++
	if rules := tr.rules[l.Gateway]; rules != "" {
		_, _ = fmt.Fprintln(tr.out, rules)
		delete(tr.rules, l.Gateway)
	}
	_, _ = fmt.Fprintln(tr.out, text)
}
