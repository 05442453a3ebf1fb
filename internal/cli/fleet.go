package cli

import (
	"context"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/eelgrassreach/eelgrassreach/internal/vm"
	"github.com/eelgrassreach/eelgrassreach/platform"
)

// fleetCommand runs a VM of a prepared platform.
func (a *app) fleetCommand() *ffcli.Command {
	fs := a.flagSet("eelgrassreach fleet")
	var o vm.FleetOptions
	fs.StringVar(&o.LogLevel, "log-level", "info", "least `level` of log lines: debug, info, warn or error")
	fs.IntVar(&o.MetricsPort, "metrics-port", 0, "`port` of the metrics page; 0 takes the second of the ports between VMs")
	settings := fs.String("platform-settings", "", "`path` of the platform's settings file; by default the one that the platform names")
	return &ffcli.Command{
		Name:       "fleet",
		ShortUsage: "eelgrassreach fleet [flags]",
		ShortHelp:  "Runs a VM that schedules jobs on the prepared platform until SIGTERM.",
		FlagSet:    fs,
		Options:    envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usage("fleet: unexpected argument %q", args[0])
			}
			o.SettingsPath = *settings
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
