// Command measure runs the project's measurements and prints the results. It is not part
// of a release.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
)

// measurement runs one measurement and prints the results to w.
type measurement func(w io.Writer, seed uint64) error

// measurements holds the measurements by name. Each file of this package registers its own.
var measurements = make(map[string]measurement)

// register adds a measurement. It returns true to allow use in a variable declaration.
func register(name string, run measurement) bool {
	measurements[name] = run
	return true
}

func main() {
	seed := flag.Uint64("seed", 1, "seed of the workloads")
	flag.Parse()
	if err := run(os.Stdout, *seed, flag.Args()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run runs the named measurements, or all of them if none or "all" is named.
func run(w io.Writer, seed uint64, names []string) error {
	if len(names) == 0 || names[0] == "all" {
		names = allNames()
	}
	for _, name := range names {
		measure, known := measurements[name]
		if !known {
			return fmt.Errorf("unknown measurement %q; available: %v", name, allNames())
		}
		if err := measure(w, seed); err != nil {
			return fmt.Errorf("measurement %s: %w", name, err)
		}
	}
	return nil
}

func allNames() []string {
	names := make([]string, 0, len(measurements))
	for name := range measurements {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
