package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/eelgrassreach/eelgrassreach/internal/explain"
	"github.com/eelgrassreach/eelgrassreach/internal/vm"
	"github.com/eelgrassreach/eelgrassreach/platform"
)

// fleetCommand runs a VM on the platform that package platform adapts to, called the
// prepared platform in the help.
func (a *app) fleetCommand() *ffcli.Command {
	fs := a.flagSet("eelgrassreach fleet")
	var o vm.FleetOptions
	fs.StringVar(&o.LogLevel, "log-level", "info", "minimum `level` of log lines: debug, info, warn or error")
	fs.IntVar(&o.MetricsPort, "metrics-port", 0, "`port` of the metrics page; 0 selects the second port of the range for traffic between VMs")
	settingsPath := fs.String("platform-settings", "", "`path` of the platform's settings file; the value of EELGRASSREACH_SETTINGS when empty")
	return &ffcli.Command{
		Name:       "fleet",
		ShortUsage: "eelgrassreach fleet [flags]",
		ShortHelp:  "Runs a VM that schedules jobs on the prepared platform until SIGTERM.",
		FlagSet:    fs,
		Options:    envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError("fleet: unexpected argument %q", args[0])
			}
			hangup := make(chan os.Signal, 1)
			signal.Notify(hangup, syscall.SIGHUP)
			o.Hangup = hangup
			o.SettingsPath = *settingsPath
			if o.SettingsPath == "" {
				o.SettingsPath = os.Getenv(platform.SettingsVariable)
			}
			if _, err := platform.ReadSettings(o.SettingsPath); err != nil {
				return &exitError{code: ExitUsage, err: err}
			}
			return vm.RunFleet(ctx, o, a.Out)
		},
	}
}

// checkCommand checks a settings file of the prepared platform (see fleetCommand).
func (a *app) checkCommand() *ffcli.Command {
	fs := a.flagSet("eelgrassreach check")
	path := fs.String("platform-settings", os.Getenv(platform.SettingsVariable), "`path` of the settings file")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "eelgrassreach check -platform-settings FILE",
		ShortHelp:  "Checks a settings file of the prepared platform and prints all findings.",
		FlagSet:    fs,
		Exec: func(context.Context, []string) error {
			s, err := platform.ReadSettings(*path)
			if err != nil {
				return &exitError{code: ExitUsage, err: err}
			}
			_, err = fmt.Fprintf(a.Out, "%s: valid for %s in %s\n", *path, s.Node, s.AZ)
			return err
		},
	}
}

// explainCommand prints the log lines that concern a job.
func (a *app) explainCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "cat LOGS... | eelgrassreach explain ID",
		ShortHelp:  "Prints the log lines of all VMs about a job, in order of time.",
		FlagSet:    a.flagSet("eelgrassreach explain"),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("explain: expected one job ID")
			}
			lines, err := explain.Timeline(a.In, args[0])
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return &exitError{code: ExitNotFound, err: fmt.Errorf("explain: no log line mentions %s", args[0])}
			}
			return explain.Print(a.Out, lines)
		},
	}
}
