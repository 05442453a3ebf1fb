package e2e

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// maxLogTail is the number of bytes of a process's log that a failed test prints.
const maxLogTail = 6000

// process is a running binary. It is killed at the end of the test.
type process struct {
	name    string
	command *exec.Cmd
	logPath string
	exited  chan struct{} // closed when the process has ended
}

func startProcess(t *testing.T, name, binary string, args ...string) *process {
	t.Helper()
	p := &process{
		name:    name,
		command: exec.Command(binary, args...),
		logPath: filepath.Join(t.TempDir(), name+".log"),
		exited:  make(chan struct{}),
	}
	log, err := os.Create(p.logPath)
	assert.NilError(t, err)
	p.command.Stdout = log
	p.command.Stderr = log
	assert.NilError(t, p.command.Start())
	assert.NilError(t, log.Close())
	go func() {
		_ = p.command.Wait() // exitCode reads the result from ProcessState
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, p.logTail())
		}
	})
	return p
}

// kill sends SIGKILL, which also ends a frozen process, and waits for its end.
func (p *process) kill() {
	_ = p.command.Process.Signal(syscall.SIGKILL) // fails if the process has ended already
	<-p.exited
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.command.Process.Signal(s))
}

// exitCode waits for the end of the process and returns its exit code.
func (p *process) exitCode() int {
	<-p.exited
	return p.command.ProcessState.ExitCode()
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) log() string {
	data, _ := os.ReadFile(p.logPath)
	return string(data)
}

func (p *process) logTail() string {
	log := p.log()
	return log[max(0, len(log)-maxLogTail):]
}

// eventually waits until the condition returns "". Until then, the condition returns
// what is still missing.
func eventually(t *testing.T, condition func() string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if missing := condition(); missing != "" {
			return poll.Continue("%s", missing)
		}
		return poll.Success()
	}, poll.WithTimeout(conditionTimeout))
}

// startStandin starts a stand-in and returns the address that it listens on.
func startStandin(t *testing.T, name string, args ...string) (p *process, address string) {
	t.Helper()
	portFile := filepath.Join(t.TempDir(), "address")
	p = startProcess(t, name, standinBinary, append(args, "-port-file", portFile)...)
	eventually(t, func() string {
		data, err := os.ReadFile(portFile)
		if err != nil {
			return name + " does not listen"
		}
		address = strings.TrimSpace(string(data))
		return ""
	})
	return p, address
}
