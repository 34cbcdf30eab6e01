package command

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"
)

// Parser parses the arguments of a program with several commands.
type Parser struct {
	flags *flags.Parser
	err   error
}

// NewParser returns a parser without commands; about is the description that --help
// prints.
func NewParser(program, about string) *Parser {
	p := &Parser{flags: flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)}
	p.flags.LongDescription = about
	return p
}

// Add adds a command. Run reports an error in the struct tags of the command.
func (p *Parser) Add(name, short, long string, command flags.Commander) {
	_, err := p.flags.AddCommand(name, short, long, command)
	if p.err == nil {
		p.err = errors.Annotatef(err, "add command %s", name)
	}
}

// Run runs the command that the arguments name, prints the error if it fails, and
// returns the exit status.
func (p *Parser) Run(stdout, stderr io.Writer, args []string) Status {
	err := p.err
	if err == nil {
		_, err = p.flags.ParseArgs(args)
	}
	if err == nil {
		return Done
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		return p.usage(stdout, stderr, usage)
	}
	_, _ = fmt.Fprintf(stderr, "%s: %v\n", p.flags.Name, err)
	var s statusError
	if errors.As(err, &s) {
		return s.status
	}
	return Failed
}

// usage prints the requested help, or the error in the arguments.
func (p *Parser) usage(stdout, stderr io.Writer, err *flags.Error) Status {
	if err.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(stdout, err.Message)
		return Done
	}
	_, _ = fmt.Fprintf(stderr, "%s: %s; try %s --help\n", p.flags.Name, err.Message, p.flags.Name)
	return Usage
}

// statusError is an error with the exit status of the process.
type statusError struct {
	status Status
	error
}

// StatusErrorf returns an error with which the process exits with the given status.
func StatusErrorf(status Status, format string, args ...any) error {
	return statusError{status: status, error: errors.Errorf(format, args...)}
}

// NoArguments returns an error with status Usage if there are arguments left over.
func NoArguments(args []string) error {
	if len(args) > 0 {
		return StatusErrorf(Usage, "got argument %q, want none; try --help", args[0])
	}
	return nil
}
