// Package rapidseed fixes the seed of a package's randomised tests, so that CI gives
// the same verdict on every run. It is imported by tests only.
package rapidseed

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // registers the flags
)

// defaultSeed is the seed without SEED in the environment or -rapid.seed.
const defaultSeed = "1"

// Main runs the tests with a fixed seed. SEED in the environment chooses another
// one, N the number of checks; the flags of rapid win over both.
func Main(m *testing.M) {
	set("rapid.seed", "SEED", defaultSeed)
	set("rapid.checks", "N", "")
	set("rapid.nofailfile", "", "true")
	os.Exit(m.Run())
}

// set gives a flag the value of an environment variable or a default; nothing when
// both are empty. It must run before the flags are parsed.
func set(name, variable, value string) {
	if v := os.Getenv(variable); variable != "" && v != "" {
		value = v
	}
	if value == "" {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
