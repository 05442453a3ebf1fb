package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"go.opentelemetry.io/otel"

	"github.com/eelgrassreach/eelgrassreach/internal/api"
	"github.com/eelgrassreach/eelgrassreach/internal/telemetry"
)

const defaultTimeout = 30 * time.Second

// Output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// clientFlags are the flags of every client subcommand.
type clientFlags struct {
	server        string
	format        string
	timeout       time.Duration
	trace         string
	traceEndpoint string
}

func (c *clientFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&c.server, "server", "127.0.0.1:7300", "IP:port of any VM")
	fs.StringVar(&c.format, "o", formatTable, "output format: table or json")
	fs.DurationVar(&c.timeout, "timeout", defaultTimeout, "timeout of the whole command")
	fs.StringVar(&c.trace, "trace", telemetry.TraceOff, "trace exporter: off, stdout (writes spans to standard error) or otlp")
	fs.StringVar(&c.traceEndpoint, "trace-endpoint", "127.0.0.1:4318", "IP:port of the OTLP/HTTP collector")
}

// invocation is one run of a client subcommand.
type invocation struct {
	*app
	flags  *clientFlags
	client *api.Client
	args   []string
}

// clientSpec describes a client subcommand.
type clientSpec struct {
	group    string
	name     string
	argsHelp string
	help     string
	register func(fs *flag.FlagSet)
	exec     func(ctx context.Context, c *invocation) error
}

func (a *app) clientCommand(spec clientSpec) *ffcli.Command {
	fullName := strings.TrimSpace("eelgrassreach " + strings.TrimSpace(spec.group+" "+spec.name))
	fs := a.flagSet(fullName)
	flags := &clientFlags{}
	flags.register(fs)
	if spec.register != nil {
		spec.register(fs)
	}
	return &ffcli.Command{
		Name:       spec.name,
		ShortUsage: strings.TrimSpace(fullName + " [flags] " + spec.argsHelp),
		ShortHelp:  spec.help,
		FlagSet:    fs,
		Options:    envOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if flags.format != formatTable && flags.format != formatJSON {
				return usageError("-o %q: must be table or json", flags.format)
			}
			ctx, cancel := context.WithTimeout(ctx, flags.timeout)
			defer cancel()
			c := &invocation{app: a, flags: flags, client: api.NewClient(flags.server), args: args}
			return c.runTraced(ctx, fullName, spec.exec)
		},
	}
}

// runTraced runs a subcommand in a span of its own and then exports the spans.
func (c *invocation) runTraced(ctx context.Context, name string, exec func(context.Context, *invocation) error) error {
	stop, err := telemetry.StartTracing(ctx, telemetry.TraceOptions{
		Exporter: c.flags.trace,
		Endpoint: c.flags.traceEndpoint,
		Output:   c.Err,
		Service:  "eelgrassreach-cli",
	})
	if err != nil {
		return err
	}
	ctx, span := otel.Tracer("eelgrassreach/cli").Start(ctx, name)
	err = exec(ctx, c)
	span.End()
	if failure := stop(context.WithoutCancel(ctx)); failure != nil {
		_, _ = fmt.Fprintln(c.Err, "eelgrassreach: export spans:", failure)
	}
	return err
}

// requireArgs returns a usage error unless exactly n arguments were given.
func (c *invocation) requireArgs(n int, what string) error {
	if len(c.args) != n {
		return usageError("expected %s, got %d arguments", what, len(c.args))
	}
	return nil
}

// print writes v as JSON, or calls table to write it as rows.
func (c *invocation) print(v any, table func(w *tabwriter.Writer)) error {
	if c.flags.format == formatJSON {
		encoder := json.NewEncoder(c.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	w := tabwriter.NewWriter(c.Out, 0, 4, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// writeRow writes one row of the table.
func writeRow(w *tabwriter.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(w, "\t")
		}
		_, _ = fmt.Fprint(w, cell)
	}
	_, _ = fmt.Fprintln(w)
}
