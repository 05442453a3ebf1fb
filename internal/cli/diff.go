package cli

import (
	"context"
	"flag"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/eelgrassreach/eelgrassreach/internal/config"
)

func (a *app) configDiff() *ffcli.Command {
	var file string
	return a.clientCommand(clientSpec{
		group: "config", name: "diff", argsHelp: "-f FILE",
		help: "Shows what publishing a file would change.",
		register: func(fs *flag.FlagSet) {
			fs.StringVar(&file, "f", "", "file with records; - for standard input")
		},
		exec: func(ctx context.Context, c *invocation) error {
			records, err := c.readRecords(file)
			if err != nil {
				return err
			}
			reply, err := c.client.Config(ctx)
			if err != nil {
				return err
			}
			changes, findings := config.DiffRecords(reply.Records, records)
			if len(findings) > 0 {
				return &exitError{code: ExitRefused, err: findings.InFile(file)}
			}
			return c.print(changes, func(w *tabwriter.Writer) {
				writeRow(w, "ACTION", "TYPE", "ID", "FIELD", "IN FORCE", "NEW")
				for _, ch := range changes {
					writeRow(w, ch.Action, ch.Type, ch.ID, ch.Field, ch.Old, ch.New)
				}
			})
		},
	})
}
