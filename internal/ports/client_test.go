package ports_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
	"github.com/eelgrassreach/eelgrassreach/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is a stand-in platform and a stand-in backend server, with a client of each.
type fixture struct {
	platform *standin.Platform
	backend  *standin.Backend
	log      *ports.LogClient
	port     ports.Backend
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{platform: standin.NewPlatform(3), backend: standin.NewBackend("b1", 8, 8)}
	platformServer := httptest.NewServer(f.platform.Handler())
	backendServer := httptest.NewServer(f.backend.Handler())
	client := ports.NewHTTPClient(4, false)
	dialer := ports.NewHTTPDialer(ports.DialerOptions{})
	f.log = ports.NewLogClient(platformServer.URL, client)
	f.port = dialer.Backend(strings.TrimPrefix(backendServer.URL, "http://"))
	t.Cleanup(func() {
		f.platform.SetFault(standin.Fault{})
		f.backend.SetFault(standin.Fault{})
		client.CloseIdleConnections()
		dialer.Close()
		platformServer.CloseClientConnections()
		platformServer.Close()
		backendServer.CloseClientConnections()
		backendServer.Close()
	})
	f.awaitUptime(t)
	return f
}

// awaitUptime waits until the backend server has run longer than a call takes, so that a
// lookup can prove that it has remembered all requests since they were sent.
func (f *fixture) awaitUptime(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.backend.Uptime() < 50*time.Millisecond {
			return poll.Continue("just started")
		}
		return poll.Success()
	}, poll.WithDelay(10*time.Millisecond))
}

func shortContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

// TestExecuteFaults checks that the error of a failed execution and the result of a
// later lookup agree with what the backend server did.
func TestExecuteFaults(t *testing.T) {
	tests := []struct {
		name   string
		fault  standin.Fault
		class  error
		ran    int
		lookup error
	}{
		// Nothing was sent, so the client has no send time to compare with at the lookup.
		{"refused", standin.Fault{Refuse: true}, ports.ErrUnavailable, 0, ports.ErrInDoubt},
		{"connection closed before effect", standin.Fault{Down: true}, ports.ErrInDoubt, 0, ports.ErrNotFound},
		{"connection closed after effect", standin.Fault{AnswerLost: true}, ports.ErrInDoubt, 1, nil},
		{"silent before effect", standin.Fault{Silent: standin.SilentBefore}, ports.ErrInDoubt, 0, ports.ErrNotFound},
		{"silent after effect", standin.Fault{Silent: standin.SilentAfter}, ports.ErrInDoubt, 1, nil},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			tc.fault.Paths = []string{ports.PathExecutions}
			f.backend.SetFault(tc.fault)
			_, err := f.port.Execute(shortContext(t), ports.Execution{Request: "r1"})
			assert.ErrorIs(t, err, tc.class)
			assert.Assert(t, !errors.Is(err, otherClass(tc.class)))

			f.backend.SetFault(standin.Fault{})
			answer, err := f.port.Lookup(t.Context(), "r1")
			assert.ErrorIs(t, err, tc.lookup)
			if tc.lookup == nil {
				assert.Equal(t, answer.State, ports.ExecutionDone)
			}
			assert.Equal(t, f.backend.Record().Executions[0].Times, tc.ran)
		})
	}
}

func otherClass(class error) error {
	if errors.Is(class, ports.ErrInDoubt) {
		return ports.ErrUnavailable
	}
	return ports.ErrInDoubt
}

// TestLateExecutionIsRefused checks that a request that arrives after its lookup is not executed.
func TestLateExecutionIsRefused(t *testing.T) {
	f := newFixture(t)
	f.backend.SetFault(standin.Fault{Freeze: true, Paths: []string{ports.PathExecutions}, Times: 1})
	_, err := f.port.Execute(shortContext(t), ports.Execution{Request: "r1"})
	assert.ErrorIs(t, err, ports.ErrInDoubt)
	_, err = f.port.Lookup(t.Context(), "r1")
	assert.ErrorIs(t, err, ports.ErrNotFound)

	f.backend.SetFault(standin.Fault{})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.backend.Record().Executions[0].Received == 0 {
			return poll.Continue("the request did not arrive")
		}
		return poll.Success()
	})
	assert.Equal(t, f.backend.Record().Executions[0].Times, 0)
}

// TestRestartedServerProvesNothing looks up a request that the backend server executed
// before a restart, which made it forget the request.
func TestRestartedServerProvesNothing(t *testing.T) {
	f := newFixture(t)
	f.backend.SetFault(standin.Fault{Silent: standin.SilentAfter, Paths: []string{ports.PathExecutions}, Times: 1})
	_, err := f.port.Execute(shortContext(t), ports.Execution{Request: "r1"})
	assert.ErrorIs(t, err, ports.ErrInDoubt)
	f.backend.SetFault(standin.Fault{Restart: true})
	f.awaitUptime(t)
	for range 2 { // the first lookup makes the backend server refuse the request from then on
		_, err = f.port.Lookup(t.Context(), "r1")
		assert.ErrorIs(t, err, ports.ErrInDoubt)
		assert.Assert(t, !errors.Is(err, ports.ErrNotFound))
	}
	assert.Equal(t, f.backend.Record().Executions[0].Times, 1)
}

// TestLookupOfForeignRequest looks up a request that this client never sent. Its send
// time is not known, so its absence proves nothing.
func TestLookupOfForeignRequest(t *testing.T) {
	f := newFixture(t)
	_, err := f.port.Lookup(t.Context(), "r1")
	assert.ErrorIs(t, err, ports.ErrInDoubt)
	assert.Assert(t, !errors.Is(err, ports.ErrNotFound))
}

// TestAppendFaults checks that the error of a failed append agrees with the content of the log.
func TestAppendFaults(t *testing.T) {
	tests := []struct {
		name   string
		fault  standin.Fault
		class  error
		stored int64
	}{
		{"refused", standin.Fault{Refuse: true}, ports.ErrUnavailable, 0},
		{"connection closed before effect", standin.Fault{Down: true}, ports.ErrInDoubt, 0},
		{"answer lost", standin.Fault{AnswerLost: true}, ports.ErrInDoubt, 1},
		{"silent before effect", standin.Fault{Silent: standin.SilentBefore}, ports.ErrInDoubt, 0},
		{"silent after effect", standin.Fault{Silent: standin.SilentAfter}, ports.ErrInDoubt, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.platform.SetFault(tc.fault)
			_, err := f.log.Append(shortContext(t), []byte("x"))
			assert.ErrorIs(t, err, tc.class)
			assert.Assert(t, !errors.Is(err, otherClass(tc.class)))
			assert.Equal(t, f.platform.Record().Next-1, tc.stored)
		})
	}
}

// TestReusedConnection closes a connection that already carried a call, during the next
// call. That call must not be sent a second time.
func TestReusedConnection(t *testing.T) {
	f := newFixture(t)
	_, err := f.log.Append(t.Context(), []byte("first"))
	assert.NilError(t, err)
	f.platform.SetFault(standin.Fault{AnswerLost: true, Times: 1})
	_, err = f.log.Append(t.Context(), []byte("second"))
	assert.ErrorIs(t, err, ports.ErrInDoubt)
	assert.Equal(t, f.platform.Record().Next, int64(3))
}

func TestConnectionRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	dialer := ports.NewHTTPDialer(ports.DialerOptions{})
	defer dialer.Close()

	_, err = dialer.Backend(address).Execute(t.Context(), ports.Execution{Request: "r1"})
	assert.ErrorIs(t, err, ports.ErrUnavailable)
	_, err = ports.NewLogClient("http://"+address, nil).Append(t.Context(), []byte("x"))
	assert.ErrorIs(t, err, ports.ErrUnavailable)
}

// TestAllConnectionsBusy checks that a call that gets no connection before its context
// ends is reported as not sent.
func TestAllConnectionsBusy(t *testing.T) {
	f := newFixture(t)
	f.platform.SetFault(standin.Fault{Silent: standin.SilentBefore})
	done := make(chan error, 4)
	busy, cancel := context.WithCancel(t.Context())
	for range cap(done) {
		go func() {
			_, err := f.log.Append(busy, []byte("x"))
			done <- err
		}()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.platform.Calls() < cap(done) {
			return poll.Continue("not all connections are busy")
		}
		return poll.Success()
	})
	_, err := f.log.Append(shortContext(t), []byte("y"))
	assert.ErrorIs(t, err, ports.ErrUnavailable)
	cancel()
	for range cap(done) {
		assert.ErrorIs(t, <-done, ports.ErrInDoubt)
	}
}

// TestUnverifiableAnswersAreInDoubt covers answers of HTTP servers that are not backend
// servers, and answers that are truncated or altered.
func TestUnverifiableAnswersAreInDoubt(t *testing.T) {
	validAnswer := `{"request":"r1","state":"done","body":"eA==","length":1,"digest":"` + ports.Digest([]byte("x")) + `"}`
	tests := []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{"valid", 200, validAnswer, nil},
		{"of another request", 200, strings.Replace(validAnswer, "r1", "r2", 1), ports.ErrInDoubt},
		{"shorter than its length", 200, strings.Replace(validAnswer, `"length":1`, `"length":2`, 1), ports.ErrInDoubt},
		{"altered", 200, strings.Replace(validAnswer, "eA==", "eQ==", 1), ports.ErrInDoubt},
		{"truncated", 200, validAnswer[:len(validAnswer)/2], ports.ErrInDoubt},
		{"of unknown state", 200, strings.Replace(validAnswer, "done", "lost", 1), ports.ErrInDoubt},
		{"bare 404", 404, "not found", ports.ErrInDoubt},
		{"bare 503", 503, "", ports.ErrInDoubt},
		{"503 with an effect", 503, `{"message":"late"}`, ports.ErrInDoubt},
		{"redirect", 307, "", ports.ErrInDoubt},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(tc.status)
				_, _ = w.Write([]byte(tc.body))
			}))
			defer server.Close()
			dialer := ports.NewHTTPDialer(ports.DialerOptions{})
			defer dialer.Close()
			_, err := dialer.Backend(server.Listener.Addr().String()).Execute(t.Context(), ports.Execution{Request: "r1"})
			assert.ErrorIs(t, err, tc.want)
			assert.Assert(t, !errors.Is(err, ports.ErrUnavailable) && !errors.Is(err, ports.ErrNotFound))
		})
	}
}

func TestReadLog(t *testing.T) {
	f := newFixture(t)
	for _, data := range []string{"a", "b", "c", "d"} {
		_, err := f.log.Append(t.Context(), []byte(data))
		assert.NilError(t, err)
	}
	_, err := f.log.Read(t.Context(), 1, 10, 0)
	assert.ErrorIs(t, err, ports.ErrTrimmed)
	batch, err := f.log.Read(t.Context(), 2, 2, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Records), 2)
	assert.Equal(t, string(batch.Records[0].Data), "b")
	assert.Equal(t, batch.First, int64(2))
	assert.Equal(t, batch.Next, int64(5))

	got := make(chan ports.Batch, 1)
	go func() {
		batch, err := f.log.Read(t.Context(), 5, 10, time.Minute)
		assert.Check(t, err)
		got <- batch
	}()
	_, err = f.log.Append(t.Context(), []byte("e"))
	assert.NilError(t, err)
	batch = <-got
	assert.Equal(t, string(batch.Records[0].Data), "e")
}

// TestCommandFencing checks that a whole batch under an older token is refused.
func TestCommandFencing(t *testing.T) {
	f := newFixture(t)
	hold := ports.TaskCommand{Verb: ports.VerbHold, Task: "t1", Accelerators: 8, Members: 1, Lease: time.Minute}
	results, err := f.port.Command(t.Context(), ports.CommandBatch{Token: model.Token{Offset: 2}, Commands: []ports.TaskCommand{hold}})
	assert.NilError(t, err)
	assert.Equal(t, results[0], ports.TaskResult{Task: "t1", State: ports.TaskHeld})

	stop := ports.TaskCommand{Verb: ports.VerbStop, Task: "t1"}
	results, err = f.port.Command(t.Context(), ports.CommandBatch{Token: model.Token{Offset: 1, Rank: 9}, Commands: []ports.TaskCommand{stop, stop}})
	assert.NilError(t, err)
	for _, r := range results {
		assert.Equal(t, r.Refused, ports.RefusedFenced)
	}
	status, err := f.port.Status(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, status.Tasks[0].State, ports.TaskHeld)
}
