package faultmatrix

import (
	"fmt"
	"testing"
)

// linePrefix opens each line that the report reads from the test output.
const linePrefix = "MATRIX-CELL"

// RunCell runs the proof of one cell as a subtest and prints its result for the
// report. Tests that call it have names that begin with TestMatrix.
func RunCell(t *testing.T, step Step, fault Fault, prove func(t *testing.T)) {
	t.Helper()
	ok := t.Run(fmt.Sprintf("%s/%s", step, fault), prove)
	result := "proved"
	if !ok {
		result = "red"
	}
	fmt.Printf("%s|%s|%s|%s\n", linePrefix, step, fault, result)
}
