package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/eelgrassreach/eelgrassreach/internal/standin"
)

const envPrefix = "STANDIN"

func platformCommand() *ffcli.Command {
	fs := flag.NewFlagSet("standin platform", flag.ContinueOnError)
	listen := fs.String("listen", "127.0.0.1:0", "`IP:port` to listen on; port 0 picks a free one")
	portFile := fs.String("port-file", "", "`path` of the file to which the listening address is written")
	retain := fs.Int("retain", 0, "records that the log keeps; 0 keeps all")
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: "standin platform [flags]",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			p := standin.NewPlatform(*retain)
			return serve(ctx, *listen, p.Handler(), func(address string) error {
				logListening("platform", address)
				return writePortFile(*portFile, address)
			})
		},
	}
}
