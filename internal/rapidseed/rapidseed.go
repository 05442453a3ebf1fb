// Package rapidseed fixes the seed of a package's randomised tests, so that every CI run
// makes the same checks. Only tests import it.
package rapidseed

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // registers the -rapid flags
)

// defaultSeed is the seed if neither SEED in the environment nor -rapid.seed is set.
const defaultSeed = "1"

// Main runs the tests with a fixed seed. The environment variable SEED sets another seed,
// N the number of checks; the flags of rapid take precedence over both.
func Main(m *testing.M) {
	setFlag("rapid.seed", "SEED", defaultSeed)
	setFlag("rapid.checks", "N", "")
	setFlag("rapid.nofailfile", "", "true")
	os.Exit(m.Run())
}

// setFlag sets a flag from an environment variable or else to the given default. It does
// nothing if both are empty. It must be called before the flags are parsed.
func setFlag(name, variable, value string) {
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
