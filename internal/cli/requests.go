package cli

import (
	"context"
	"flag"
	"io"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/eelgrassreach/eelgrassreach/internal/api"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

func (a *app) requestCommand() *ffcli.Command {
	return a.commandGroup("request", "Runs requests and shows their outcomes.", a.requestRun(), a.requestStatus())
}

func (a *app) requestRun() *ffcli.Command {
	var in api.RunRequest
	var id, org, caller, body string
	var deadline time.Duration
	return a.clientCommand(clientSpec{
		group: "request", name: "run", argsHelp: "-kind NAME -organisation ID",
		help: "Runs a request and prints its outcome.",
		register: func(fs *flag.FlagSet) {
			fs.StringVar(&id, "id", "", "request ID; generated when empty")
			fs.StringVar(&in.Ticket, "ticket", "", "ticket, required unless the request kind is idempotent")
			fs.StringVar(&in.Kind, "kind", "", "request kind")
			fs.StringVar(&org, "organisation", "", "organisation")
			fs.StringVar(&caller, "caller", "cli", "caller inside the organisation")
			fs.StringVar(&body, "body", "", "request body; - for standard input")
			fs.DurationVar(&deadline, "deadline", 0, "time until the deadline; the default of the request kind when 0")
		},
		exec: func(ctx context.Context, c *invocation) error {
			if err := c.requireArgs(0, "no arguments"); err != nil {
				return err
			}
			data, err := c.readBody(body)
			if err != nil {
				return err
			}
			in.ID = model.RequestID(id)
			in.Organisation = model.OrganisationID(org)
			in.Caller = model.CallerID(caller)
			in.Body = data
			in.DeadlineMS = deadline.Milliseconds()
			reply, err := c.client.Run(ctx, in)
			if err != nil {
				return err
			}
			return c.printOutcome(reply)
		},
	})
}

func (c *invocation) readBody(body string) ([]byte, error) {
	if body == "-" {
		return io.ReadAll(c.In)
	}
	return []byte(body), nil
}

func (a *app) requestStatus() *ffcli.Command {
	var ticket string
	return a.clientCommand(clientSpec{
		group: "request", name: "status", argsHelp: "REQUEST-ID",
		help: "Shows the outcome of a request.",
		register: func(fs *flag.FlagSet) {
			fs.StringVar(&ticket, "ticket", "", "the ticket that the request ran under")
		},
		exec: func(ctx context.Context, c *invocation) error {
			if err := c.requireArgs(1, "one request ID"); err != nil {
				return err
			}
			reply, err := c.client.Outcome(ctx, model.RequestID(c.args[0]), ticket)
			if err != nil {
				return err
			}
			return c.printOutcome(reply)
		},
	})
}

func (c *invocation) printOutcome(r api.OutcomeReply) error {
	err := c.print(r, func(w *tabwriter.Writer) {
		writeRow(w, "request", r.ID)
		writeRow(w, "outcome", r.Outcome)
		if r.Reason != "" {
			writeRow(w, "reason", r.Reason)
		}
		if r.RetryAfterMS > 0 {
			writeRow(w, "retry after", time.Duration(r.RetryAfterMS)*time.Millisecond)
		}
		if len(r.Body) > 0 {
			writeRow(w, "answer", string(r.Body))
		}
	})
	if err != nil {
		return err
	}
	return exitWith(outcomeExitCode(r.Outcome))
}

func outcomeExitCode(o model.Outcome) ExitCode {
	switch o {
	case model.OutcomeDone:
		return ExitOK
	case model.OutcomeFailed:
		return ExitFailed
	case model.OutcomeNotRun:
		return ExitRefused
	default:
		return ExitUnknown
	}
}

func (a *app) ticketCommand() *ffcli.Command {
	var ttl string
	newTicket := a.clientCommand(clientSpec{
		group: "ticket", name: "new",
		help: "Issues a ticket for one request that is not idempotent.",
		register: func(fs *flag.FlagSet) {
			fs.StringVar(&ttl, "ttl", "", "lifetime, such as 10m; the VM's default when empty")
		},
		exec: func(ctx context.Context, c *invocation) error {
			reply, err := c.client.NewTicket(ctx, api.TicketRequest{TTL: ttl})
			if err != nil {
				return err
			}
			return c.print(reply, func(w *tabwriter.Writer) { writeRow(w, reply.Ticket) })
		},
	})
	return a.commandGroup("ticket", "Issues tickets.", newTicket)
}
