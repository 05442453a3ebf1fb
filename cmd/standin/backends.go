package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"strings"
	"sync"

	"github.com/peterbourgon/ff/v3/ffcli"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/standin"
)

// backendsCommand simulates many backend servers in one process, for measuring a VM at
// sizes that would need too many processes. The port file has a line "ID IP:port" for each
// backend server.
func backendsCommand() *ffcli.Command {
	fs := flag.NewFlagSet("standin backends", flag.ContinueOnError)
	count := fs.Int("count", 0, "`number` of backend servers")
	prefix := fs.String("prefix", "s", "prefix of each ID")
	portFile := fs.String("port-file", "", "`path` of the file to which the IDs and addresses are written")
	return &ffcli.Command{
		Name:       "backends",
		ShortUsage: "standin backends -count N -port-file PATH",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			if *count < 1 || *portFile == "" {
				return errors.New("-count of at least 1 and -port-file are required")
			}
			return runBackends(ctx, *count, *prefix, *portFile)
		},
	}
}

// Slots and accelerators of each simulated backend server, the same as those of the backend
// servers in production.
const (
	slotsPerServer        = 8
	acceleratorsPerServer = 8
)

func runBackends(ctx context.Context, count int, prefix, portFile string) error {
	group, ctx := errgroup.WithContext(ctx)
	var mu sync.Mutex
	lines := make([]string, 0, count)
	for i := range count {
		id := fmt.Sprintf("%s%04d", prefix, i)
		backend := standin.NewBackend(model.BackendServerID(id), slotsPerServer, acceleratorsPerServer)
		group.Go(func() error {
			return serve(ctx, "127.0.0.1:0", backend.Handler(), func(address string) error {
				mu.Lock()
				defer mu.Unlock()
				lines = append(lines, id+" "+address)
				if len(lines) < count {
					return nil
				}
				return writePortFile(portFile, strings.Join(lines, "\n"))
			})
		})
	}
	return group.Wait()
}
