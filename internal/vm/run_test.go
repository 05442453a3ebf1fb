package vm

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/eelgrassreach/eelgrassreach/internal/api"
	"github.com/eelgrassreach/eelgrassreach/internal/control"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/settings"
	"github.com/eelgrassreach/eelgrassreach/internal/standin"
	"github.com/eelgrassreach/eelgrassreach/internal/telemetry"
)

// pollOptions set the timeout and the poll interval of the test's waits.
var pollOptions = []poll.SettingOp{poll.WithTimeout(20 * time.Second), poll.WithDelay(20 * time.Millisecond)}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) contains(text string) poll.Check {
	return func(poll.LogT) poll.Result {
		l.mu.Lock()
		defer l.mu.Unlock()
		if strings.Contains(l.b.String(), text) {
			return poll.Success()
		}
		return poll.Continue("%q is missing in:\n%s", text, l.b.String())
	}
}

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// Runs one VM against a stand-in platform and backend server. Every component must run,
// show up in the logs or metrics, and stop.
func TestVMFromStartToStop(t *testing.T) {
	platformServer := httptest.NewServer(standin.NewPlatform(0).Handler())
	defer platformServer.Close()
	backendServer := httptest.NewServer(standin.NewBackend("s1", 8, 8).Handler())
	defer backendServer.Close()
	address := freeAddress(t)
	serveSettings := settings.Serve{
		AZ: "zone-a", Region: "r", Listen: address, Advertise: address, Platform: platformServer.URL,
		DrainTimeout: 10 * time.Second, TicketTTL: time.Minute, AppendRate: 30, MaxBody: 1 << 20, MaxConns: 16,
		LogLevel: "info", Trace: telemetry.TraceOff,
	}
	ctx, stop := context.WithCancel(t.Context())
	var logs lockedBuffer
	stopped := make(chan error, 1)
	go func() { stopped <- Run(ctx, serveSettings, io.Discard, &logs) }()

	poll.WaitOn(t, logs.contains("readiness changed"), pollOptions...)
	poll.WaitOn(t, logs.contains("term changed"), pollOptions...)
	client := api.NewClient(address)
	backend := strings.TrimPrefix(backendServer.URL, "http://")
	reply, err := client.PutConfig(t.Context(), api.ConfigChangeRequest{Records: configRecords(backend)})
	assert.NilError(t, err)
	assert.Equal(t, reply.Verdict, "accepted", "%v", reply.Findings)
	poll.WaitOn(t, logs.contains("configuration applied"), pollOptions...)
	poll.WaitOn(t, metricLine(address, `backend_servers{az="zone-a",condition="live"} 1`), pollOptions...)

	outcome, err := client.Run(t.Context(), api.RunRequest{Kind: "quote", Organisation: "o", Caller: "c"})
	assert.NilError(t, err)
	assert.Equal(t, outcome.Outcome, model.OutcomeDone, "%s", outcome.Reason)
	receipt, err := client.SubmitJob(t.Context(), api.JobSubmitRequest{
		Organisation: "o", Class: "urgent", Shape: model.GangShape{Tasks: 2, Accelerators: 4, Adjacency: model.AdjacentServer},
	})
	assert.NilError(t, err)
	assert.Assert(t, receipt.Durable)
	poll.WaitOn(t, jobDone(client, receipt.Job), pollOptions...)
	poll.WaitOn(t, logs.contains("job changed"), pollOptions...)

	stop()
	assert.NilError(t, <-stopped)
}

func configRecords(backend string) []json.RawMessage {
	server := fmt.Sprintf(`{"schemaVersion":2,"type":"backendServer","id":"s1","address":%q,
		"location":{"az":"zone-a","region":"r","rack":"k"},
		"capacity":{"accelerators":8,"slots":8,"connections":64,"cores":32,"memoryMB":65536}}`, backend)
	return []json.RawMessage{
		json.RawMessage(server),
		json.RawMessage(`{"schemaVersion":2,"type":"organisation","id":"o","quota":{"accelerators":8},"weight":1,
			"guarantees":[{"az":"zone-a","shape":{"tasks":2,"accelerators":4,"adjacency":"server"},"count":1}]}`),
		json.RawMessage(`{"schemaVersion":2,"type":"requestKind","id":"quote","priorityClass":"urgent","deadline":"5s","idempotent":true}`),
	}
}

// metricLine checks that the metrics page contains a line.
func metricLine(address, line string) poll.Check {
	return func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + address + "/metrics")
		if err != nil {
			return poll.Continue("%v", err)
		}
		defer resp.Body.Close()
		page, err := io.ReadAll(resp.Body)
		if err == nil && strings.Contains(string(page), line) {
			return poll.Success()
		}
		return poll.Continue("%q is missing: %v", line, err)
	}
}

func jobDone(client *api.Client, id model.JobID) poll.Check {
	return func(poll.LogT) poll.Result {
		status, err := client.Job(context.Background(), id)
		if err == nil && status.State == control.JobDone {
			return poll.Success()
		}
		return poll.Continue("%v %s %s", err, status.State, status.Reason)
	}
}
