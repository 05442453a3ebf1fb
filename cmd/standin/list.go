package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
	"github.com/eelgrassreach/eelgrassreach/internal/standin"
)

// putVMCommand adds a VM of the system to the stand-in platform's VM list, or replaces its
// entry. A real platform maintains its list itself.
func putVMCommand() *ffcli.Command {
	fs := flag.NewFlagSet("standin list", flag.ContinueOnError)
	url := fs.String("platform", "", "`URL` of the stand-in platform")
	address := fs.String("address", "", "`IP:port` of the VM")
	az := fs.String("az", "", "availability `zone` of the VM")
	state := fs.String("state", string(ports.VMLive), "live or leaving")
	return &ffcli.Command{
		Name:       "list",
		ShortUsage: "standin list -platform URL -address IP:PORT -az ZONE",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			return standin.PutVM(ctx, *url, ports.VMEntry{
				Address: *address,
				Role:    ports.RoleVM,
				AZ:      model.AZ(*az),
				State:   ports.VMState(*state),
			})
		},
	}
}
