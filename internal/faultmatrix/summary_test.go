package faultmatrix

import (
	"bytes"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestSummaryCountsCells(t *testing.T) {
	output := strings.Join([]string{
		"=== RUN x",
		"MATRIX-CELL|gang/hold|process killed|proved",
		"    MATRIX-CELL|gang/hold|process frozen|red",
		"MATRIX-CELL|gang/hold|process frozen|proved",
		"MATRIX-CELL|broken",
	}, "\n")
	s, err := ReadResults(strings.NewReader(output))
	assert.NilError(t, err)
	assert.Equal(t, s.Result(StepHold, FaultKilled), Proved)
	assert.Equal(t, s.Result(StepHold, FaultFrozen), Red, "a later pass must not hide a red run")
	assert.Equal(t, s.Result(StepStart, FaultKilled), NotProved)
	assert.Equal(t, s.Result(StepMint, FaultSilent), NotApplicable)

	var out bytes.Buffer
	assert.Equal(t, s.Write(&out), 1)
	cells := len(Steps)*len(Faults) - len(exclusions)
	last := lastLine(out.String())
	assert.Assert(t, strings.HasPrefix(last, "matrix: "), last)
	assert.Assert(t, strings.Contains(last, "1 proved, 1 red"), last)
	assert.Assert(t, strings.Contains(last, strconv.Itoa(cells)+" cells"), last)
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}
