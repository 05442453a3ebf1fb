// Package settings reads and checks the flags and environment variables of the `serve`
// subcommand. It reports all findings together.
package settings

import (
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/telemetry"
)

// EnvPrefix is the prefix of the environment variables that set flags.
const EnvPrefix = "EELGRASSREACH"

// Serve holds the checked settings of the `serve` subcommand.
type Serve struct {
	AZ            model.AZ
	Region        model.Region
	Listen        string   // IP:port of the HTTP listener
	Advertise     string   // IP:port at which peers and callers reach this VM
	Platform      string   // base URL of the platform
	Peers         []string // IP:port of other VMs
	DrainNotice   time.Duration
	DrainTimeout  time.Duration
	AppendRate    int   // appends per second of all VMs together
	MaxBody       int64 // bytes
	MaxConns      int   // connections per backend server
	TicketTTL     time.Duration
	LogLevel      string
	Trace         string
	TraceEndpoint string // host:port of an OTLP/HTTP collector
}

// Finding is one error in the settings.
type Finding struct {
	Flag    string
	Value   string
	Message string
}

// EnvVar returns the name of the environment variable that sets the flag.
func (f Finding) EnvVar() string {
	name := strings.ReplaceAll(f.Flag, "-", "_")
	return EnvPrefix + "_" + strings.ToUpper(name)
}

// Findings lists the errors in the order in which Check finds them.
type Findings []Finding

// Error returns all findings, each on its own line.
func (fs Findings) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d findings in the settings:", len(fs))
	for _, f := range fs {
		fmt.Fprintf(&b, "\n  -%s (%s) = %q: %s", f.Flag, f.EnvVar(), f.Value, f.Message)
	}
	return b.String()
}

// Raw holds the settings as given, before they are checked.
type Raw struct {
	az, region, listen, advertise, platform, peers string
	drainNotice, drainTimeout, ticketTTL           string
	appendRate, maxBody, maxConns                  string
	logLevel, trace, traceEndpoint                 string
}

// Register defines the flags on fs. The values stay strings until Check parses them, so
// that all errors are reported together.
func Register(fs *flag.FlagSet) *Raw {
	r := &Raw{}
	fs.StringVar(&r.az, "az", "", "availability zone of this VM")
	fs.StringVar(&r.region, "region", "default", "region of the availability zone")
	fs.StringVar(&r.listen, "listen", "127.0.0.1:7300", "IP:port to listen on")
	fs.StringVar(&r.advertise, "advertise", "", "IP:port that other VMs use; the listen address when empty")
	fs.StringVar(&r.platform, "platform", "", "base URL of the platform, http://IP:port")
	fs.StringVar(&r.peers, "peers", "", "comma-separated IP:port of other VMs, used until the VM list is read")
	fs.StringVar(&r.drainNotice, "drain-notice", "3s", "time in a planned stop between reporting not ready and refusing new commands")
	fs.StringVar(&r.drainTimeout, "drain-timeout", "30s", "maximum duration of a planned stop after -drain-notice")
	fs.StringVar(&r.ticketTTL, "ticket-ttl", "10m", "lifetime of a ticket when the caller gives none")
	fs.StringVar(&r.appendRate, "append-rate", "240", "appends per second to the platform's log by all VMs together; each VM gets an equal share")
	fs.StringVar(&r.maxBody, "max-body", "1048576", "maximum size of a request body in bytes")
	fs.StringVar(&r.maxConns, "max-conns", "16", "maximum number of connections to one backend server")
	fs.StringVar(&r.logLevel, "log-level", "info", "minimum level of log lines: debug, info, warn or error")
	fs.StringVar(&r.trace, "trace", telemetry.TraceOff, "trace exporter: off, stdout or otlp")
	fs.StringVar(&r.traceEndpoint, "trace-endpoint", "127.0.0.1:4318", "IP:port of the OTLP/HTTP collector")
	return r
}

// ParseServe parses args and the environment and returns the checked settings. The error
// is flag.ErrHelp, a usage error, or Findings.
func ParseServe(args []string, output io.Writer) (Serve, error) {
	fs := flag.NewFlagSet("eelgrassreach serve", flag.ContinueOnError)
	fs.SetOutput(output)
	raw := Register(fs)
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		return Serve{}, err
	}
	if fs.NArg() > 0 {
		return Serve{}, fmt.Errorf("unexpected arguments: %s", strings.Join(fs.Args(), " "))
	}
	return raw.Check()
}
