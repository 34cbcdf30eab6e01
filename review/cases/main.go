// Command cases runs one case of the review. It starts gateways as separate processes, with
// the stand-ins for the platform's store, the upstreams and the clients in its own process.
// All addresses are loopback addresses with free ports.
//
//	cases NAME FOLDER
//
// The exit status is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
// With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// maxRun bounds the duration of a case.
const maxRun = 110 * time.Second

// scenario runs a case and reports whether the rule was broken.
type scenario func(b *bench) (broken bool, err error)

func scenarios() map[string]scenario {
	return map[string]scenario{

		"rejection-copied": rejectionCopied,
		"body-left-over":   bodyLeftOver,
		"dark-upload":      darkUpload,
		"config-grows":     configGrows,
		"killed-midway":    killedMidway,
	}
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 2 || scenarios()[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		return statusNotRun
	}
	b, err := newBench(filepath.Join(args[1], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer b.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	type result struct {
		broken bool
		err    error
	}
	ended := make(chan result, 1)
	go func() {
		broken, err := scenarios()[args[0]](b)
		ended <- result{broken, err}
	}()
	select {
	case r := <-ended:
		return b.verdict(r.broken, r.err)
	case <-time.After(maxRun):
		return b.verdict(false, fmt.Errorf("the case did not end within %v", maxRun))
	case s := <-signals:
		return b.verdict(false, fmt.Errorf("got signal %v", s))
	}
}

// verdict records the result and returns the exit status.
func (b *bench) verdict(broken bool, err error) int {
	switch {
	case err != nil:
		b.note("NOT RUN: %v", err)
		return statusNotRun
	case broken:
		b.note("BROKEN")
		return statusBroken
	default:
		b.note("HELD")
		return statusHeld
	}
}
