// Program world runs the cases of the review that are scripts. It holds the stand-ins for the
// store, the endpoint servers and the callers of a small system on the loopback interface; the
// script play.sh beside it runs the gateways as separate processes.
//
//	world CASE CASEFOLDER RUNFOLDER
//
// The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusUnable = 2
)

// maxRuntime bounds the time of a case.
const maxRuntime = 100 * time.Second

// scenario runs a case and reports whether the rule was broken.
type scenario func(ctx context.Context, rec *record, dir *os.Root) (broken bool, err error)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	scenarios := map[string]scenario{"resume": runResume, "names": runNames, "term": runTerm, "crash": runCrash}
	if len(args) != 3 || scenarios[args[0]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: world CASE CASEFOLDER RUNFOLDER")
		return statusUnable
	}
	broken, err := runScenario(scenarios[args[0]], args[1], args[2])
	switch {
	case err != nil:
		_, _ = fmt.Fprintln(os.Stderr, err)
		return statusUnable
	case broken:
		_, _ = fmt.Println("the rule was broken")
		return statusBroken
	default:
		_, _ = fmt.Println("the rule held")
		return statusHeld
	}
}

func runScenario(s scenario, caseFolder, runFolder string) (broken bool, err error) {
	dir, err := os.OpenRoot(runFolder)
	if err != nil {
		return false, err
	}
	results, err := os.OpenRoot(caseFolder)
	if err != nil {
		return false, err
	}
	rec, err := newRecord(results)
	if err != nil {
		return false, err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	ctx, cancelTimeout := context.WithTimeout(ctx, maxRuntime)
	defer cancelTimeout()
	broken, err = s(ctx, rec, dir)
	if err == nil && ctx.Err() != nil {
		err = fmt.Errorf("%w: %w", errUnable, ctx.Err())
	}
	if closeErr := rec.close(); err == nil {
		err = closeErr
	}
	return broken, err
}
