// Command eelgrassreach is the scheduler and its client.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/eelgrassreach/eelgrassreach/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(int(cli.Run(ctx, os.Args[1:], cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})))
}
