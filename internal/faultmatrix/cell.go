package faultmatrix

import (
	"fmt"
	"testing"
)

// linePrefix begins each line of the test output that the report reads.
const linePrefix = "MATRIX-CELL"

// RunCell runs the test of one cell as a subtest and prints its result for the report.
// The names of tests that call it must begin with TestMatrix, because scripts/matrix.sh
// runs only these.
func RunCell(t *testing.T, step Step, fault Fault, test func(t *testing.T)) {
	t.Helper()
	ok := t.Run(fmt.Sprintf("%s/%s", step, fault), test)
	result := "proved"
	if !ok {
		result = "red"
	}
	fmt.Printf("%s|%s|%s|%s\n", linePrefix, step, fault, result)
}
