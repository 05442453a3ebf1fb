// Package e2e runs the project's binaries as processes on loopback, injects faults, and
// compares what the backend servers recorded as run with the answers that callers
// received.
package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// conditionTimeout bounds the wait for a condition. It only ends a test that hangs; it
// does not check how fast the condition is met.
const conditionTimeout = 40 * time.Second

// The built binaries.
var (
	vmBinary      string
	standinBinary string
)

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	vmBinary = filepath.Join(dir, "eelgrassreach")
	standinBinary = filepath.Join(dir, "standin")
	for binary, pkg := range map[string]string{vmBinary: "eelgrassreach", standinBinary: "standin"} {
		out, err := exec.Command("go", "build", "-o", binary, "../../cmd/"+pkg).CombinedOutput()
		if err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", pkg, err, out)
			return 1
		}
	}
	return m.Run()
}
