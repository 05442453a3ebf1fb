package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/telemetry"
)

// checker parses values and collects the findings.
type checker struct {
	findings Findings
}

func (c *checker) add(flagName, value, format string, args ...any) {
	c.findings = append(c.findings, Finding{Flag: flagName, Value: value, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) name(flagName, value string) string {
	if value == "" {
		c.add(flagName, value, "must not be empty")
	} else if strings.ContainsAny(value, " \t/,") {
		c.add(flagName, value, "must not contain spaces, tabs, slashes or commas")
	}
	return value
}

func (c *checker) address(flagName, value string) string {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(flagName, value, "must be IP:port, such as 10.0.0.1:7300")
	}
	return value
}

func (c *checker) baseURL(flagName, value string) string {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.add(flagName, value, "must be a URL such as http://10.0.0.1:7400")
		return value
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		c.add(flagName, value, "must have IP:port as its host")
	}
	return strings.TrimSuffix(value, "/")
}

func (c *checker) duration(flagName, value string, low, high time.Duration) time.Duration {
	d, err := time.ParseDuration(value)
	if err != nil {
		c.add(flagName, value, "must be a duration such as 3s")
		return 0
	}
	if d < low || d > high {
		c.add(flagName, value, "must be between %s and %s", low, high)
	}
	return d
}

func (c *checker) number(flagName, value string, low, high int64) int64 {
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		c.add(flagName, value, "must be a whole number")
		return 0
	}
	if n < low || n > high {
		c.add(flagName, value, "must be between %d and %d", low, high)
	}
	return n
}

func (c *checker) oneOf(flagName, value string, allowed ...string) string {
	if !slices.Contains(allowed, value) {
		c.add(flagName, value, "must be one of %s", strings.Join(allowed, ", "))
	}
	return value
}

func (c *checker) addresses(flagName, value string) []string {
	if value == "" {
		return nil
	}
	list := strings.Split(value, ",")
	for _, a := range list {
		c.address(flagName, a)
	}
	return list
}

// Check parses and checks the settings. The error is of type Findings and lists all errors.
func (r *Raw) Check() (Serve, error) {
	c := &checker{}
	advertise := r.advertise
	if advertise == "" {
		advertise = r.listen
	}
	s := Serve{
		AZ:            model.AZ(c.name("az", r.az)),
		Region:        model.Region(c.name("region", r.region)),
		Listen:        c.address("listen", r.listen),
		Advertise:     advertise,
		Platform:      c.baseURL("platform", r.platform),
		Peers:         c.addresses("peers", r.peers),
		DrainNotice:   c.duration("drain-notice", r.drainNotice, 0, time.Minute),
		DrainTimeout:  c.duration("drain-timeout", r.drainTimeout, time.Second, 10*time.Minute),
		TicketTTL:     c.duration("ticket-ttl", r.ticketTTL, time.Second, 24*time.Hour),
		AppendRate:    int(c.number("append-rate", r.appendRate, 1, 500)),
		MaxBody:       c.number("max-body", r.maxBody, 1, 1<<30),
		MaxConns:      int(c.number("max-conns", r.maxConns, 2, 64)),
		LogLevel:      c.oneOf("log-level", r.logLevel, "debug", "info", "warn", "error"),
		Trace:         c.oneOf("trace", r.trace, telemetry.TraceOff, telemetry.TraceStdout, telemetry.TraceOTLP),
		TraceEndpoint: c.address("trace-endpoint", r.traceEndpoint),
	}
	if r.advertise != "" {
		c.address("advertise", r.advertise)
	}
	if len(c.findings) > 0 {
		return Serve{}, c.findings
	}
	return s, nil
}
