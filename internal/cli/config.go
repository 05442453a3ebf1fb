package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/eelgrassreach/eelgrassreach/internal/api"
	"github.com/eelgrassreach/eelgrassreach/internal/config"
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
)

func (a *app) configCommand() *ffcli.Command {
	return a.commandGroup("config", "Publishes and shows configuration records.",
		a.configPut(), a.configGet(), a.configList(), a.configHistory(), a.configDiff(), a.configResolve())
}

// expectCurrent is the default of -expect. It selects the VM's current revision.
const expectCurrent = -1

func (a *app) configPut() *ffcli.Command {
	var file, comment, id string
	var expect int64
	var dryRun bool
	return a.clientCommand(clientSpec{
		group: "config", name: "put", argsHelp: "-f FILE",
		help: "Publishes the records of a file as one change.",
		register: func(fs *flag.FlagSet) {
			fs.StringVar(&file, "f", "", "file with records; - for standard input")
			fs.StringVar(&comment, "comment", "", "comment that is stored with the change")
			fs.StringVar(&id, "id", "", "change ID, which makes a retry idempotent; generated when empty")
			fs.Int64Var(&expect, "expect", expectCurrent, "revision on which the change is based; the current one when negative")
			fs.BoolVar(&dryRun, "dry-run", false, "check the records without publishing them")
		},
		exec: func(ctx context.Context, c *invocation) error {
			records, err := c.readRecords(file)
			if err != nil {
				return err
			}
			in := api.ConfigChangeRequest{ID: id, Records: records, Comment: comment, DryRun: dryRun}
			if expect >= 0 {
				in.ExpectedRevision = &expect
			}
			reply, err := c.client.PutConfig(ctx, in)
			if err != nil {
				return err
			}
			reply.Findings = reply.Findings.InFile(file)
			return c.printChange(reply)
		},
	})
}

// readRecords reads the records of a file, or of standard input for "-". Findings are
// returned as an error.
func (c *invocation) readRecords(file string) ([]json.RawMessage, error) {
	if err := c.requireArgs(0, "no arguments"); err != nil {
		return nil, err
	}
	if file == "" {
		return nil, usageError("-f is required")
	}
	var source io.Reader = c.In
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, usageError("-f: %w", err)
		}
		defer func() { _ = f.Close() }()
		source = f
	}
	records, findings := config.ParseFile(file, source)
	if len(findings) > 0 {
		return nil, &exitError{code: ExitRefused, err: findings}
	}
	return records, nil
}

// printChange prints the verdict on a change. The error carries the exit code.
func (c *invocation) printChange(r api.ConfigChangeReply) error {
	err := c.print(r, func(w *tabwriter.Writer) {
		switch r.Verdict {
		case string(journal.VerdictAccepted), string(journal.VerdictDuplicate):
			writeRow(w, fmt.Sprintf("accepted at %d", r.Offset))
		case string(journal.VerdictConflict):
			writeRow(w, fmt.Sprintf("conflict: the change at %d won", r.Winner))
		case string(journal.VerdictUnknown):
			writeRow(w, "unknown; resolve it with: eelgrassreach config resolve "+r.ID)
		case api.VerdictRefused:
			writeRow(w, fmt.Sprintf("refused: %d findings", len(r.Findings)))
		default:
			writeRow(w, r.Verdict)
		}
		for _, f := range r.Findings {
			writeRow(w, "  "+f.String())
		}
		if r.Detail != "" {
			writeRow(w, "  "+r.Detail)
		}
	})
	if err != nil {
		return err
	}
	return exitWith(changeExitCode(r.Verdict))
}

func changeExitCode(verdict string) ExitCode {
	switch verdict {
	case string(journal.VerdictAccepted), string(journal.VerdictDuplicate), api.VerdictValid:
		return ExitOK
	case string(journal.VerdictConflict):
		return ExitConflict
	case string(journal.VerdictUnknown):
		return ExitUnknown
	default:
		return ExitRefused
	}
}

func (a *app) configResolve() *ffcli.Command {
	return a.clientCommand(clientSpec{
		group: "config", name: "resolve", argsHelp: "CHANGE-ID",
		help: "Prints the verdict on a change for which put reported unknown.",
		exec: func(ctx context.Context, c *invocation) error {
			if err := c.requireArgs(1, "one change ID"); err != nil {
				return err
			}
			reply, err := c.client.ConfigChange(ctx, c.args[0])
			if err != nil {
				return err
			}
			return c.printChange(reply)
		},
	})
}

func (a *app) configGet() *ffcli.Command {
	return a.clientCommand(clientSpec{
		group: "config", name: "get",
		help: "Prints the current records in the format that put reads.",
		exec: func(ctx context.Context, c *invocation) error {
			reply, err := c.client.Config(ctx)
			if err != nil {
				return err
			}
			encoder := json.NewEncoder(c.Out)
			encoder.SetIndent("", "  ")
			return encoder.Encode(reply.Records)
		},
	})
}

// recordHeader is the part of a record that `config list` shows.
type recordHeader struct {
	Type string `json:"type"`
	ID   string `json:"id"`
	Name string `json:"name"`
}

func (r recordHeader) label() string {
	if r.ID == "" {
		return r.Name
	}
	return r.ID
}

func (a *app) configList() *ffcli.Command {
	return a.clientCommand(clientSpec{
		group: "config", name: "list",
		help: "Lists the current records.",
		exec: func(ctx context.Context, c *invocation) error {
			reply, err := c.client.Config(ctx)
			if err != nil {
				return err
			}
			return c.print(reply, func(w *tabwriter.Writer) {
				writeRow(w, "revision", reply.Revision)
				if reply.Stalled != "" {
					writeRow(w, "STALLED", reply.Stalled)
				}
				writeRow(w, "TYPE", "ID")
				for _, raw := range reply.Records {
					var head recordHeader
					_ = json.Unmarshal(raw, &head)
					writeRow(w, head.Type, head.label())
				}
			})
		},
	})
}

func (a *app) configHistory() *ffcli.Command {
	return a.clientCommand(clientSpec{
		group: "config", name: "history",
		help: "Lists the latest changes and their verdicts.",
		exec: func(ctx context.Context, c *invocation) error {
			reply, err := c.client.ConfigHistory(ctx)
			if err != nil {
				return err
			}
			return c.print(reply, func(w *tabwriter.Writer) {
				writeRow(w, "OFFSET", "VERDICT", "WINNER", "CHANGE", "DETAIL")
				for _, d := range reply.Decisions {
					writeRow(w, d.Offset, d.Verdict, d.Winner, d.EntryID, d.Detail)
				}
			})
		},
	})
}
