package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/fleet"
	"github.com/eelgrassreach/eelgrassreach/internal/intake"
	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/platform"
)

// whereFlags are the flags of the subcommand where.
type whereFlags struct {
	vms, queue, key, path, format string
	timeout                       time.Duration
	step                          job.Step
}

// whereCommand tells where a job would go, without submitting it.
func (a *app) whereCommand() *ffcli.Command {
	fs := a.flagSet("eelgrassreach where")
	var f whereFlags
	fs.StringVar(&f.vms, "vms", "", "`IP:port,...` of VMs, each with the first port of its range for traffic between VMs")
	fs.StringVar(&f.queue, "queue", "", "`HOST/PATH` of the queue, as for a submission")
	fs.StringVar(&f.key, "key", "", "key of the organisation; better given in the environment as EELGRASSREACH_KEY")
	fs.StringVar(&f.path, "job", "-", "`file` with the job's description, as it would be submitted; - reads standard input")
	fs.StringVar(&f.format, "o", formatTable, "output format: table or json")
	fs.DurationVar(&f.timeout, "timeout", 3*time.Second, "timeout of each call")
	fs.IntVar(&f.step.Count, "tasks", 0, "instead of -job: `number` of tasks of a job with one step")
	fs.IntVar(&f.step.Need.MilliCPU, "millicores", 0, "with -tasks: thousandths of a core of each task")
	fs.IntVar(&f.step.Need.MemoryMB, "memory-mb", 0, "with -tasks: memory of each task")
	fs.IntVar(&f.step.Need.Accelerators, "accelerators", 0, "with -tasks: accelerators of each task")
	fs.DurationVar(&f.step.EstimatedRuntime, "estimate", 0, "with -tasks: estimated runtime")
	fs.BoolVar(&f.step.Gang, "gang", false, "with -tasks: all start together")
	fs.BoolVar(&f.step.SameRack, "same-rack", false, "with -tasks: all on one rack")
	fs.StringVar(&f.step.Label, "label", "", "with -tasks: label that a backend server must have")
	return &ffcli.Command{
		Name:       "where",
		ShortUsage: "eelgrassreach where -vms IP:port,... -queue HOST/PATH [flags] < JOB",
		ShortHelp:  "Tells where a job would go now and why, without submitting it.",
		FlagSet:    fs,
		Options:    envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError("where: unexpected argument %q", args[0])
			}
			return a.where(ctx, f)
		},
	}
}

func (a *app) where(ctx context.Context, f whereFlags) error {
	host, path, found := strings.Cut(f.queue, "/")
	vms := slices.DeleteFunc(strings.Split(f.vms, ","), func(s string) bool { return s == "" })
	switch {
	case len(vms) == 0:
		return usageError("where: -vms: none given, IP:port[,IP:port...] allowed")
	case host == "" || !found:
		return usageError("where: -queue %q: HOST/PATH allowed", f.queue)
	case f.format != formatTable && f.format != formatJSON:
		return usageError("where: -o %q: must be table or json", f.format)
	case f.timeout <= 0:
		return usageError("where: -timeout %v: more than 0 allowed", f.timeout)
	}
	body, err := a.describedJob(f)
	if err != nil {
		return usageError("where: %w", err)
	}
	if err := platform.CheckJob(body); err != nil {
		return usageError("where: %w", err)
	}
	id := model.RandomID()[:16]
	q := platform.Question{Host: host, Path: "/" + strings.TrimSuffix(path, "/") + "/" + id, Key: f.key, Body: body}
	var tried []string
	for _, vm := range vms {
		where, passedOn, err := platform.AskWhere(ctx, vm, q, f.timeout)
		if err == nil {
			return a.printWhere(f.format, vm, passedOn, where)
		}
		var refusal *platform.StatusError
		if errors.As(err, &refusal) {
			switch refusal.Status {
			case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
				return usageError("where: %s: %w", vm, err)
			case http.StatusUnauthorized:
				return &exitError{code: ExitRefused, err: fmt.Errorf("where: %s: %w", vm, err)}
			case http.StatusNotFound:
				return &exitError{code: ExitNotFound, err: fmt.Errorf("where: %s: %w", vm, err)}
			}
		}
		tried = append(tried, fmt.Sprintf("%s: %v", vm, err))
	}
	return fmt.Errorf("where: no VM has told; tried\n  %s", strings.Join(tried, "\n  "))
}

// describedJob returns the body of the job's submission.
func (a *app) describedJob(f whereFlags) ([]byte, error) {
	described := f.step.Need != job.Resources{} || f.step.EstimatedRuntime != 0 || f.step.Gang || f.step.SameRack || f.step.Label != ""
	switch {
	case f.step.Count != 0 && f.path != "-":
		return nil, errors.New("-job and -tasks: only one of them allowed")
	case f.step.Count != 0:
		return platform.EncodeStep(&f.step)
	case described:
		return nil, errors.New("-tasks: missing, 1 or more allowed with flags that describe tasks")
	case f.path == "-":
		return io.ReadAll(a.In)
	default:
		return os.ReadFile(f.path)
	}
}

func (a *app) printWhere(format, vm string, passedOn bool, where intake.Where) error {
	if format == formatJSON {
		encoder := json.NewEncoder(a.Out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(where); err != nil {
			return err
		}
	} else {
		w := tabwriter.NewWriter(a.Out, 0, 4, 2, ' ', 0)
		writeWhere(w, vm, passedOn, where)
		if err := w.Flush(); err != nil {
			return err
		}
	}
	if !where.Admitted {
		return exitWith(ExitRefused)
	}
	return nil
}

func writeWhere(w *tabwriter.Writer, vm string, passedOn bool, where intake.Where) {
	by := where.Place.Node
	if passedOn {
		by += ", asked by " + vm
	}
	writeRow(w, "decided by", by)
	if where.Admitted {
		writeRow(w, "submission", "admitted")
	} else {
		writeRow(w, "submission", fmt.Sprintf("refused: %s; retry after %v", where.Refusal, milliseconds(where.RetryAfterMS)))
	}
	writeRow(w, "knowledge", fmt.Sprintf("list %v old, reports up to %v old", milliseconds(where.Place.ListAgeMS), milliseconds(where.Place.ReportAgeMS)))
	if where.Place.Blocked != "" {
		writeRow(w, "starts nothing", where.Place.Blocked)
	}
	for i := range where.Place.Steps {
		writeWhereStep(w, &where.Place.Steps[i])
	}
}

func writeWhereStep(w *tabwriter.Writer, s *fleet.WhereStep) {
	writeRow(w, fmt.Sprintf("step %d", s.Step), fmt.Sprintf("%d tasks: %d start now, %d wait", s.Tasks, s.Tasks-s.Waits, s.Waits))
	writeRow(w, "  steps ahead", counts(s.Ahead, "priority %d: %d"))
	for _, start := range s.Starts {
		writeRow(w, "  starts on", fmt.Sprintf("%s, rack %s: %d", start.Server, start.Rack, start.Tasks))
	}
	if s.Waits > 0 {
		writeRow(w, "  waits", s.Reason)
	}
	if s.EarmarkMS != nil {
		writeRow(w, "  room kept", fmt.Sprintf("should start after %v", milliseconds(*s.EarmarkMS)))
	}
	if len(s.Preempts) > 0 {
		writeRow(w, "  tasks stopped", counts(s.Preempts, "priority %d: %d"))
	}
	writeRow(w, "  servers", fmt.Sprintf("%d of %d weighed, with room for %d tasks", s.Weighed, s.Servers, s.Room))
	if len(s.Excluded) > 0 {
		writeRow(w, "  others", counts(s.Excluded, "%s: %d"))
	}
}

// counts formats what is counted, in the order of the keys.
func counts[K ~int | ~string](m map[K]int, format string) string {
	var parts []string
	for _, k := range eventloop.SortedKeys(m) {
		parts = append(parts, fmt.Sprintf(format, k, m[k]))
	}
	if parts == nil {
		return "none"
	}
	return strings.Join(parts, ", ")
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
