// Command measure prints the project's measurements. It is not shipped.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
)

// subcommand prints one measurement to w.
type subcommand func(w io.Writer, seed uint64) error

// subcommands holds the measurements by name. Each file of this package registers its own.
var subcommands = make(map[string]subcommand)

// register adds a measurement. It returns true to allow use in a variable declaration.
func register(name string, run subcommand) bool {
	subcommands[name] = run
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

// run prints the named measurements; "all" stands for each of them.
func run(w io.Writer, seed uint64, names []string) error {
	if len(names) == 0 || names[0] == "all" {
		names = allNames()
	}
	for _, name := range names {
		measure, known := subcommands[name]
		if !known {
			return fmt.Errorf("unknown measurement %q; there are %v", name, allNames())
		}
		if err := measure(w, seed); err != nil {
			return fmt.Errorf("measurement %s: %w", name, err)
		}
	}
	return nil
}

func allNames() []string {
	names := make([]string, 0, len(subcommands))
	for name := range subcommands {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
