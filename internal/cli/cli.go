// Package cli implements the command line. `serve` and `fleet` run a VM. `config`,
// `job`, `request`, `ticket` and `status` are clients of the HTTP API of a VM; `where` asks the VMs that `fleet` runs.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/eelgrassreach/eelgrassreach/internal/api"
	"github.com/eelgrassreach/eelgrassreach/internal/settings"
	"github.com/eelgrassreach/eelgrassreach/internal/vm"
)

// ExitCode is the exit status of the program.
type ExitCode int

// The exit codes.
const (
	ExitOK       ExitCode = 0
	ExitError    ExitCode = 1 // the VM could not be reached or failed
	ExitUsage    ExitCode = 2 // bad arguments or settings
	ExitRefused  ExitCode = 3 // the command certainly had no effect, or the request did not run
	ExitFailed   ExitCode = 4 // the request or job ran and failed
	ExitUnknown  ExitCode = 5 // the outcome is not known yet
	ExitConflict ExitCode = 6 // another configuration change was accepted instead
	ExitNotFound ExitCode = 7
)

// Version is set at link time.
var Version = "development"

// Streams are the standard streams.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// exitError sets the exit code. Its error is nil if there is no message to print.
type exitError struct {
	code ExitCode
	err  error
}

// Error returns the message.
func (e *exitError) Error() string {
	if e.err == nil {
		return ""
	}
	return e.err.Error()
}

func exitWith(code ExitCode) error {
	if code == ExitOK {
		return nil
	}
	return &exitError{code: code}
}

func usageError(format string, args ...any) error {
	return &exitError{code: ExitUsage, err: fmt.Errorf(format, args...)}
}

// app implements the subcommands.
type app struct {
	Streams
}

// Run parses args, runs the subcommand and returns the exit code. It prints errors to
// streams.Err.
func Run(ctx context.Context, args []string, streams Streams) ExitCode {
	a := &app{Streams: streams}
	root := a.rootCommand()
	if err := root.Parse(args); err != nil {
		return a.report(err, ExitUsage)
	}
	return a.report(root.Run(ctx), ExitError)
}

// report prints err and returns its exit code, or fallback for an error without one.
func (a *app) report(err error, fallback ExitCode) ExitCode {
	var withCode *exitError
	var problem *api.Problem
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.As(err, &withCode):
		if withCode.err != nil {
			_, _ = fmt.Fprintln(a.Err, "eelgrassreach:", withCode.err)
		}
		return withCode.code
	case errors.As(err, &problem):
		a.printProblem(problem)
		return problemExitCode(problem)
	default:
		_, _ = fmt.Fprintln(a.Err, "eelgrassreach:", err)
		return fallback
	}
}

func (a *app) printProblem(p *api.Problem) {
	_, _ = fmt.Fprintln(a.Err, "eelgrassreach:", p)
	for _, f := range p.Findings {
		_, _ = fmt.Fprintln(a.Err, "  "+f.String())
	}
	if p.RetryAfterMS > 0 {
		retry := time.Duration(p.RetryAfterMS) * time.Millisecond
		_, _ = fmt.Fprintln(a.Err, "  retry after", retry)
	}
}

func problemExitCode(p *api.Problem) ExitCode {
	switch p.Type {
	case api.ProblemBadRequest:
		return ExitUsage
	case api.ProblemNotFound:
		return ExitNotFound
	case api.ProblemRefused:
		return ExitRefused
	case api.ProblemInDoubt:
		return ExitUnknown
	default:
		return ExitError
	}
}

func (a *app) rootCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "eelgrassreach",
		ShortUsage: "eelgrassreach <subcommand> [flags]",
		ShortHelp:  "Schedules multi-accelerator jobs and requests under organisations' guarantees.",
		FlagSet:    a.flagSet("eelgrassreach"),
		Subcommands: []*ffcli.Command{
			a.serveCommand(),
			a.fleetCommand(),
			a.checkCommand(),
			a.explainCommand(),
			a.whereCommand(),
			a.configCommand(),
			a.jobCommand(),
			a.requestCommand(),
			a.ticketCommand(),
			a.statusCommand(),
			a.versionCommand(),
		},
		Exec: showHelp,
	}
}

func (a *app) flagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(a.Err)
	return fs
}

func showHelp(context.Context, []string) error {
	return flag.ErrHelp
}

// commandGroup returns a command that only contains subcommands.
func (a *app) commandGroup(name, help string, subcommands ...*ffcli.Command) *ffcli.Command {
	return &ffcli.Command{
		Name:        name,
		ShortUsage:  "eelgrassreach " + name + " <subcommand> [flags]",
		ShortHelp:   help,
		FlagSet:     a.flagSet(name),
		Subcommands: subcommands,
		Exec:        showHelp,
	}
}

// envOptions lets environment variables set the flags.
func envOptions() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix(settings.EnvPrefix)}
}

func (a *app) serveCommand() *ffcli.Command {
	fs := a.flagSet("eelgrassreach serve")
	raw := settings.Register(fs)
	return &ffcli.Command{
		Name:       "serve",
		ShortUsage: "eelgrassreach serve -az NAME -platform URL [flags]",
		ShortHelp:  "Runs a VM until SIGTERM.",
		FlagSet:    fs,
		Options:    envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError("serve: unexpected argument %q", args[0])
			}
			checked, err := raw.Check()
			if err != nil {
				return &exitError{code: ExitUsage, err: err}
			}
			return vm.Run(ctx, checked, a.Out, a.Err)
		},
	}
}

func (a *app) versionCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "eelgrassreach version",
		ShortHelp:  "Prints the version.",
		FlagSet:    a.flagSet("eelgrassreach version"),
		Exec: func(context.Context, []string) error {
			_, err := fmt.Fprintln(a.Out, Version)
			return err
		},
	}
}
