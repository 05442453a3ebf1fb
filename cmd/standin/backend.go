package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
	"github.com/eelgrassreach/eelgrassreach/internal/standin"
)

// registerInterval is the interval at which the entry in the VM list is renewed.
const registerInterval = 500 * time.Millisecond

// backendSettings are the flags of a stand-in backend server.
type backendSettings struct {
	id           string
	listen       string
	portFile     string
	slots        int
	accelerators int
	platform     string
	az           string
}

func backendCommand() *ffcli.Command {
	var s backendSettings
	fs := flag.NewFlagSet("standin backend", flag.ContinueOnError)
	fs.StringVar(&s.id, "id", "", "`name` of the backend server")
	fs.StringVar(&s.listen, "listen", "127.0.0.1:0", "`IP:port` to listen on; port 0 picks a free one")
	fs.StringVar(&s.portFile, "port-file", "", "`path` of the file to which the listening address is written")
	fs.IntVar(&s.slots, "slots", 8, "maximum number of requests that run concurrently")
	fs.IntVar(&s.accelerators, "accelerators", 8, "accelerators for tasks")
	fs.StringVar(&s.platform, "platform", "", "`URL` of the platform to register at; empty for none")
	fs.StringVar(&s.az, "az", "", "availability `zone` in the VM list")
	return &ffcli.Command{
		Name:       "backend",
		ShortUsage: "standin backend -id NAME [flags]",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec:       func(ctx context.Context, _ []string) error { return runBackend(ctx, s) },
	}
}

func runBackend(ctx context.Context, s backendSettings) error {
	if s.id == "" {
		return errors.New("-id is required")
	}
	b := standin.NewBackend(model.BackendServerID(s.id), s.slots, s.accelerators)
	return serve(ctx, s.listen, b.Handler(), func(address string) error {
		logListening("backend", address)
		if s.platform != "" {
			go register(ctx, s, address, b)
		}
		return writePortFile(s.portFile, address)
	})
}

// register keeps the entry of the backend server in the VM list up to date until ctx ends.
func register(ctx context.Context, s backendSettings, address string, b *standin.Backend) {
	ticker := time.NewTicker(registerInterval)
	defer ticker.Stop()
	for {
		if err := standin.PutVM(ctx, s.platform, vmListEntry(s, address, b)); err != nil && ctx.Err() == nil {
			fmt.Fprintf(os.Stderr, "event=register-failed error=%q\n", err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func vmListEntry(s backendSettings, address string, b *standin.Backend) ports.VMEntry {
	e := ports.VMEntry{
		Address: address,
		Role:    ports.RoleBackendServer,
		AZ:      model.AZ(s.az),
		State:   ports.VMLive,
	}
	if b.Leaving() {
		e.State = ports.VMLeaving
	}
	return e
}
