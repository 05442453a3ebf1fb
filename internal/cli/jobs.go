package cli

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/eelgrassreach/eelgrassreach/internal/api"
	"github.com/eelgrassreach/eelgrassreach/internal/control"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// jobPollInterval is the interval at which -wait queries the status of a job.
const jobPollInterval = 100 * time.Millisecond

func (a *app) jobCommand() *ffcli.Command {
	return a.commandGroup("job", "Submits, shows and cancels jobs.",
		a.jobSubmit(), a.jobStatus(), a.jobList(), a.jobCancel())
}

func (a *app) jobSubmit() *ffcli.Command {
	var in api.JobSubmitRequest
	var id, org, az, adjacency string
	return a.clientCommand(clientSpec{
		group: "job", name: "submit", argsHelp: "-organisation ID -tasks N -accelerators M",
		help: "Submits a job.",
		register: func(fs *flag.FlagSet) {
			fs.StringVar(&id, "id", "", "job ID, which makes a retry idempotent; generated when empty")
			fs.StringVar(&org, "organisation", "", "organisation that owns the job")
			fs.IntVar(&in.Shape.Tasks, "tasks", 1, "number of tasks in the gang")
			fs.IntVar(&in.Shape.Accelerators, "accelerators", 1, "accelerators per task")
			fs.StringVar(&adjacency, "adjacency", string(model.AdjacentAny), "how close the tasks must be placed: server, rack or any")
			fs.StringVar(&in.Class, "class", model.ClassNormal.String(), "priority class: urgent, normal or batch")
			fs.StringVar(&az, "az", "", "home availability zone; chosen by the VM when empty")
			fs.StringVar(&in.DeclaredRuntime, "runtime", "", "declared run time, such as 10m, used only as a hint")
			fs.BoolVar(&in.Idempotent, "idempotent", false, "allow a new attempt while an earlier attempt is in doubt")
			fs.StringVar(&in.Payload, "payload", "", "payload that is passed to every task")
		},
		exec: func(ctx context.Context, c *invocation) error {
			if err := c.requireArgs(0, "no arguments"); err != nil {
				return err
			}
			in.ID = model.JobID(id)
			in.Organisation = model.OrganisationID(org)
			in.AZ = model.AZ(az)
			in.Shape.Adjacency = model.Adjacency(adjacency)
			receipt, err := c.client.SubmitJob(ctx, in)
			if err != nil {
				return err
			}
			return c.print(receipt, func(w *tabwriter.Writer) {
				writeRow(w, "JOB", "HOME", "DURABLE")
				writeRow(w, receipt.Job, receipt.HomeAZ, receipt.Durable)
			})
		},
	})
}

func (a *app) jobStatus() *ffcli.Command {
	var wait bool
	return a.clientCommand(clientSpec{
		group: "job", name: "status", argsHelp: "JOB-ID",
		help: "Shows a job.",
		register: func(fs *flag.FlagSet) {
			fs.BoolVar(&wait, "wait", false, "wait until the job ends or -timeout has passed")
		},
		exec: func(ctx context.Context, c *invocation) error {
			if err := c.requireArgs(1, "one job ID"); err != nil {
				return err
			}
			status, err := c.waitForJob(ctx, model.JobID(c.args[0]), wait)
			if err != nil {
				return err
			}
			if err := c.printJobs([]control.JobStatus{status}, status); err != nil {
				return err
			}
			return exitWith(jobExitCode(status.State, wait))
		},
	})
}

// waitForJob returns the status of a job. If wait is set, it polls until the job has ended
// or ctx ends, also while the VM does not know the job yet.
func (c *invocation) waitForJob(ctx context.Context, id model.JobID, wait bool) (control.JobStatus, error) {
	for {
		status, err := c.client.Job(ctx, id)
		if !wait || (err == nil && status.State.Ended()) {
			return status, err
		}
		if err != nil && api.ProblemType(err) != api.ProblemNotFound {
			return status, err
		}
		select {
		case <-ctx.Done():
			return status, err
		case <-time.After(jobPollInterval):
		}
	}
}

func jobExitCode(state control.JobState, wait bool) ExitCode {
	switch {
	case state == control.JobFailed:
		return ExitFailed
	case wait && !state.Ended():
		return ExitUnknown
	default:
		return ExitOK
	}
}

func (c *invocation) printJobs(jobs []control.JobStatus, reply any) error {
	return c.print(reply, func(w *tabwriter.Writer) {
		writeRow(w, "JOB", "ORGANISATION", "HOME", "SHAPE", "STATE", "ATTEMPTS", "BORROWED", "DURABLE", "SERVERS", "REASON")
		for _, j := range jobs {
			shape := fmt.Sprintf("%dx%d/%s", j.Job.Shape.Tasks, j.Job.Shape.Accelerators, j.Job.Shape.Adjacency)
			writeRow(w, j.Job.ID, j.Job.Organisation, j.Job.HomeAZ, shape, j.State, j.Attempts,
				j.Borrowed, j.Durable, joinIDs(j.Servers), j.Reason)
		}
	})
}

func joinIDs(ids []model.BackendServerID) string {
	parts := make([]string, len(ids))
	for i, id := range ids {
		parts[i] = string(id)
	}
	return strings.Join(parts, ",")
}

func (a *app) jobList() *ffcli.Command {
	var org string
	return a.clientCommand(clientSpec{
		group: "job", name: "list",
		help: "Lists jobs.",
		register: func(fs *flag.FlagSet) {
			fs.StringVar(&org, "organisation", "", "list only the jobs of this organisation")
		},
		exec: func(ctx context.Context, c *invocation) error {
			reply, err := c.client.Jobs(ctx, model.OrganisationID(org))
			if err != nil {
				return err
			}
			return c.printJobs(reply.Jobs, reply)
		},
	})
}

func (a *app) jobCancel() *ffcli.Command {
	return a.clientCommand(clientSpec{
		group: "job", name: "cancel", argsHelp: "JOB-ID...",
		help: "Cancels jobs. Cancelling twice changes nothing.",
		exec: func(ctx context.Context, c *invocation) error {
			if len(c.args) == 0 {
				return usageError("expected at least one job ID")
			}
			ids := make([]model.JobID, len(c.args))
			for i, arg := range c.args {
				ids[i] = model.JobID(arg)
			}
			reply, err := c.client.CancelJobs(ctx, api.JobCancelRequest{Jobs: ids})
			if err != nil {
				return err
			}
			if err := c.printReceipts(reply); err != nil {
				return err
			}
			return exitWith(cancelExitCode(reply.Receipts))
		},
	})
}

func (c *invocation) printReceipts(reply api.JobCancelReply) error {
	return c.print(reply, func(w *tabwriter.Writer) {
		writeRow(w, "JOB", "STATE", "DURABLE")
		for _, r := range reply.Receipts {
			state := string(r.State)
			if state == "" {
				state = "not known"
			}
			writeRow(w, r.Job, state, r.Durable)
		}
	})
}

func cancelExitCode(receipts []control.CancelReceipt) ExitCode {
	for _, r := range receipts {
		if r.State == "" {
			return ExitNotFound
		}
	}
	return ExitOK
}
