package faultmatrix

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Result is the state of a cell.
type Result string

// The results. A cell is proved if its test passed, red if its test failed.
const (
	Proved        Result = "proved"
	Red           Result = "red"
	NotProved     Result = "-"
	NotApplicable Result = "n/a"
)

// cellKey identifies a cell of the table.
type cellKey struct {
	step  Step
	fault Fault
}

// Summary holds the results of the cells in a test run.
type Summary struct {
	results map[cellKey]Result
}

// ReadResults collects the results of the cells from the output of a test run. A cell
// that ran more than once is red if any of its runs failed.
func ReadResults(r io.Reader) (*Summary, error) {
	s := &Summary{results: make(map[cellKey]Result)}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		s.addLine(scanner.Text())
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read test output: %w", err)
	}
	return s, nil
}

// maxLine is the longest line of test output that is read, in bytes.
const maxLine = 1 << 20

func (s *Summary) addLine(line string) {
	start := strings.Index(line, linePrefix+"|")
	if start < 0 {
		return
	}
	parts := strings.Split(line[start:], "|")
	if len(parts) != cellLineParts {
		return
	}
	key := cellKey{step: Step(parts[1]), fault: Fault(parts[2])}
	if s.results[key] == Red {
		return
	}
	s.results[key] = Result(parts[3])
}

// cellLineParts is the number of fields of a line that RunCell prints.
const cellLineParts = 4

// Result returns the state of a cell.
func (s *Summary) Result(step Step, fault Fault) Result {
	if r, ok := s.results[cellKey{step, fault}]; ok {
		return r
	}
	if reason := NotApplicableReason(step, fault); reason != "" {
		return NotApplicable
	}
	return NotProved
}

// Write prints the table and the counts, and returns the number of red cells.
func (s *Summary) Write(out io.Writer) (red int) {
	w := tabwriter.NewWriter(out, 0, 4, 1, ' ', 0)
	_, _ = fmt.Fprint(w, "step")
	for i := range Faults {
		_, _ = fmt.Fprintf(w, "\tF%d", i+1)
	}
	_, _ = fmt.Fprintln(w)
	counts := make(map[Result]int)
	for _, step := range Steps {
		_, _ = fmt.Fprint(w, step)
		for _, fault := range Faults {
			r := s.Result(step, fault)
			counts[r]++
			_, _ = fmt.Fprintf(w, "\t%s", r)
		}
		_, _ = fmt.Fprintln(w)
	}
	_ = w.Flush()
	for i, fault := range Faults {
		_, _ = fmt.Fprintf(out, "F%d: %s\n", i+1, fault)
	}
	cells := counts[Proved] + counts[Red] + counts[NotProved]
	_, _ = fmt.Fprintf(out, "matrix: %d cells, %d proved, %d red, %d not proved\n",
		cells, counts[Proved], counts[Red], counts[NotProved])
	return counts[Red]
}
