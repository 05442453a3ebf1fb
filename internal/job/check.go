package job

import (
	"errors"
	"fmt"
)

const (
	maxSteps       = 1000    // bounds the work of checking one submission
	maxTasks       = 3000    // tasks of one occurrence; keeps a step's progress within a record of 256 KB
	maxOccurrences = 1000000 // bounds the numbers in task names
)

// Check validates a submission. It returns all findings, each with the field that it is
// about.
func (j *Job) Check() error {
	var findings []error
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		findings = append(findings, fmt.Errorf("steps: %d given, 1 to %d allowed", len(j.Steps), maxSteps))
	}
	if j.Occurrences < 0 || j.Occurrences > maxOccurrences {
		findings = append(findings, fmt.Errorf("occurrences: %d is not in 0 to %d", j.Occurrences, maxOccurrences))
	}
	if j.Interval < 0 {
		findings = append(findings, fmt.Errorf("interval: %v is negative", j.Interval))
	}
	tasks := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		findings = append(findings, s.check(i)...)
		if s.Count > 0 && s.Count <= maxTasks {
			tasks += s.Count
		}
	}
	if tasks > maxTasks {
		findings = append(findings, fmt.Errorf("steps: %d tasks, at most %d allowed", tasks, maxTasks))
	}
	return errors.Join(findings...)
}

func (s *Step) check(index int) []error {
	var findings []error
	report := func(format string, args ...any) {
		findings = append(findings, fmt.Errorf("steps[%d]."+format, append([]any{index}, args...)...))
	}
	if s.Count < 1 || s.Count > maxTasks {
		report("count: %d is not in 1 to %d", s.Count, maxTasks)
	}
	if s.Need.MilliCPU < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 {
		report("need: %+v has a negative amount", s.Need)
	}
	if s.EstimatedRuntime < 0 {
		report("estimate: %v is negative", s.EstimatedRuntime)
	}
	if s.MaxPerServer < 0 || s.MayMiss < 0 {
		report("bounds: %d per backend server, %d may miss; neither may be negative", s.MaxPerServer, s.MayMiss)
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= index {
			report("dependsOn: %d is not an earlier step", d)
		}
	}
	return findings
}
