// Command standin simulates the platform or backend servers in tests and the demo.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &ffcli.Command{
		Name:        "standin",
		ShortUsage:  "standin <platform|backend|backends|list> [flags]",
		Subcommands: []*ffcli.Command{platformCommand(), backendCommand(), backendsCommand(), putVMCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(ctx, os.Args[1:])
	if errors.Is(err, flag.ErrHelp) {
		os.Exit(2)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "event=failed error=%q\n", err)
		os.Exit(1)
	}
}
