// Package job models multi-step jobs: the submission, the progress of each step, and the
// records that store both.
package job

import (
	"math"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Resources is an amount of a backend server's resources.
type Resources struct {
	MilliCPU     int `json:"cpu,omitempty"` // thousandths of a core
	MemoryMB     int `json:"mem,omitempty"`
	Accelerators int `json:"acc,omitempty"`
}

// acceleratorMilliCPU is the processor time that an accelerator counts as in CoreWeight.
const acceleratorMilliCPU = 8000

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{r.MilliCPU * n, r.MemoryMB * n, r.Accelerators * n}
}

// Max returns the larger of r and o for each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCPU, o.MilliCPU), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// FitsIn reports whether free has at least r of each resource.
func (r Resources) FitsIn(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// CoreWeight returns the size of r in cores. An accelerator counts as eight cores.
func (r Resources) CoreWeight() float64 {
	return float64(r.MilliCPU+r.Accelerators*acceleratorMilliCPU) / 1000
}

// Step is one stage of a job. It has Count equal tasks.
type Step struct {
	Count int       `json:"count"`
	Need  Resources `json:"need"`
	// EstimatedRuntime is the submitter's rough estimate for one task.
	EstimatedRuntime time.Duration `json:"est,omitempty"`
	// DependsOn lists earlier steps that must be done first.
	DependsOn []int `json:"after,omitempty"`
	// Checkpoints is set when the tasks save their progress.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang is set when all tasks of a run start together and end together.
	Gang bool `json:"gang,omitempty"`
	// SameRack is set when the tasks are slower if they run on more than one rack.
	SameRack bool `json:"sameRack,omitempty"`
	// Label, if set, must be among the labels of a backend server that runs the step.
	Label string `json:"label,omitempty"`
	// DataRack is the rack of the step's data; tasks are slower on other racks.
	DataRack model.RackID `json:"dataRack,omitempty"`
	// MaxPerServer bounds the step's tasks on one backend server; 0 means no bound.
	MaxPerServer int  `json:"maxPerServer,omitempty"`
	Speculative  bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"longRunning,omitempty"`
	// Image identifies what the tasks run; tasks with the same image behave alike.
	Image string `json:"image,omitempty"`
	// TailTarget is the bound on the tail latency of a serving task.
	TailTarget time.Duration `json:"tailTarget,omitempty"`
	// Fills is set when the step uses only processor time that other tasks leave unused.
	Fills bool `json:"fills,omitempty"`
	// MayMiss bounds how many long-running tasks the system may stop by its own actions.
	MayMiss int `json:"mayMiss,omitempty"`
}

// Reserved returns what one task takes of a backend server's capacity.
func (s *Step) Reserved() Resources {
	r := s.Need
	if s.Fills {
		r.MilliCPU = 0
	}
	return r
}

// Job is a submission with the settings that its queue had at that time.
type Job struct {
	ID           model.JobID          `json:"id"`
	Queue        string               `json:"queue"`
	Service      string               `json:"service"`
	Organisation model.OrganisationID `json:"organisation,omitempty"`
	// Priority is 0 for the most urgent queue.
	Priority int `json:"priority,omitempty"`
	// Attempts is the number of failed runs of one task after which the job fails.
	Attempts int `json:"attempts"`
	// Stretch and Grace define the latency objective: Stretch times the critical path, plus Grace.
	Stretch float64       `json:"stretch,omitempty"`
	Grace   time.Duration `json:"grace,omitempty"`
	// Advised is set when the queue's policy chooses the backend servers of each step.
	Advised bool `json:"advised,omitempty"`
	// Accepted is when the job was accepted, by the wall clock of the VM that accepted it.
	Accepted time.Time `json:"accepted"`
	// Payload is passed to every task without being interpreted.
	Payload string `json:"payload,omitempty"`
	Steps   []Step `json:"steps"`
	// Occurrences, if above 0, is how many times the steps run: occurrence K is due at
	// FirstDue + K x Interval.
	Occurrences int           `json:"occurrences,omitempty"`
	FirstDue    time.Time     `json:"firstDue,omitzero"`
	Interval    time.Duration `json:"interval,omitempty"`
}

// Kind names work that behaves alike: that of one queue and image.
type Kind string

// Kind returns the kind of work of a step.
func (j *Job) Kind(step int) Kind { return Kind(j.Queue + "/" + j.Steps[step].Image) }

// OccurrenceCount returns how many times the steps run.
func (j *Job) OccurrenceCount() int { return max(j.Occurrences, 1) }

// Due returns the wall-clock time from which occurrence k may start.
func (j *Job) Due(k int) time.Time {
	if j.Occurrences == 0 {
		return j.Accepted
	}
	if k > 0 && j.Interval > math.MaxInt64/time.Duration(k) {
		return j.FirstDue.Add(math.MaxInt64)
	}
	return j.FirstDue.Add(time.Duration(k) * j.Interval)
}

// CriticalPath returns the estimated time of the longest chain of dependent steps.
func (j *Job) CriticalPath() time.Duration {
	return j.CriticalPathBy(func(step int) time.Duration { return j.Steps[step].EstimatedRuntime })
}

// CriticalPathBy is CriticalPath with other run times than the estimated ones.
func (j *Job) CriticalPathBy(runtime func(step int) time.Duration) time.Duration {
	chain := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		for _, d := range j.Steps[i].DependsOn {
			chain[i] = max(chain[i], chain[d])
		}
		chain[i] += runtime(i)
		longest = max(longest, chain[i])
	}
	return longest
}

// Objective returns how long after its due time an occurrence should end at the latest.
func (j *Job) Objective() time.Duration {
	return j.ObjectiveOf(j.CriticalPath())
}

// ObjectiveOf is Objective for a given time of the longest chain of dependent steps.
func (j *Job) ObjectiveOf(criticalPath time.Duration) time.Duration {
	return time.Duration(j.Stretch*float64(criticalPath)) + j.Grace
}

// LongRunning reports whether any step runs until the job is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// PeakAccelerators returns the largest number of accelerators that one step uses.
func (j *Job) PeakAccelerators() int {
	most := 0
	for i := range j.Steps {
		most = max(most, j.Steps[i].Count*j.Steps[i].Need.Accelerators)
	}
	return most
}
