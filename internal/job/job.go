// Package job holds the model of a multi-step job: what was submitted, how far each
// step has come, and the records that make both last.
package job

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Resources is an amount of what a backend server offers.
type Resources struct {
	MilliCPU     int `json:"cpu,omitempty"` // thousandths of a core
	MemoryMB     int `json:"mem,omitempty"`
	Accelerators int `json:"acc,omitempty"`
}

// acceleratorMilliCPU weighs an accelerator against processor time in CoreWeight.
const acceleratorMilliCPU = 8000

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Times returns r n times.
func (r Resources) Times(n int) Resources {
	return Resources{r.MilliCPU * n, r.MemoryMB * n, r.Accelerators * n}
}

// FitsIn reports whether r is available in free.
func (r Resources) FitsIn(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// CoreWeight is the size of r in cores, an accelerator counted as eight.
func (r Resources) CoreWeight() float64 {
	return float64(r.MilliCPU+r.Accelerators*acceleratorMilliCPU) / 1000
}

// Step is one stage of a job: Count equal tasks.
type Step struct {
	Count int       `json:"count"`
	Need  Resources `json:"need"`
	// EstimatedRuntime is the submitter's rough estimate for one task.
	EstimatedRuntime time.Duration `json:"est,omitempty"`
	// DependsOn lists earlier steps that must be done first.
	DependsOn []int `json:"after,omitempty"`
	// Checkpoints tells that tasks save their progress.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang tells that all tasks of a run start together and end together.
	Gang bool `json:"gang,omitempty"`
	// SameRack slows the tasks when they run on more than one rack.
	SameRack bool `json:"sameRack,omitempty"`
	// Label must be among the labels of a backend server.
	Label string `json:"label,omitempty"`
	// DataRack is the rack where the data is; elsewhere tasks are slower.
	DataRack model.RackID `json:"dataRack,omitempty"`
	// MaxPerServer bounds the step's tasks on one backend server; 0 means no bound.
	MaxPerServer int  `json:"maxPerServer,omitempty"`
	Speculative  bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"longRunning,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// TailTarget is the response time that a serving task's tail must stay below.
	TailTarget time.Duration `json:"tailTarget,omitempty"`
	// Fills tells that the step uses only the processor time that others leave.
	Fills bool `json:"fills,omitempty"`
	// MayMiss bounds how many long-running tasks actions of the system may take away.
	MayMiss int `json:"mayMiss,omitempty"`
}

// Reserved is what one task takes of a backend server's capacity.
func (s *Step) Reserved() Resources {
	r := s.Need
	if s.Fills {
		r.MilliCPU = 0
	}
	return r
}

// Job is a submission with the terms of its queue at that time.
type Job struct {
	ID           model.JobID          `json:"id"`
	Queue        string               `json:"queue"`
	Service      string               `json:"service"`
	Organisation model.OrganisationID `json:"organisation,omitempty"`
	// Priority is 0 for the most urgent queue.
	Priority int `json:"priority,omitempty"`
	// Attempts is the number of failed runs of a task that ends the job.
	Attempts int `json:"attempts"`
	// Stretch and Grace make the latency objective: Stretch times the longest chain, and Grace more.
	Stretch float64       `json:"stretch,omitempty"`
	Grace   time.Duration `json:"grace,omitempty"`
	// Advised tells that the queue's policy names the backend servers of each step.
	Advised bool `json:"advised,omitempty"`
	// Accepted is the acceptor's time of day.
	Accepted time.Time `json:"accepted"`
	// Payload is passed to every task unread.
	Payload string `json:"payload,omitempty"`
	Steps   []Step `json:"steps"`
	// Occurrences above 0 repeats the steps: occurrence K is due at FirstDue + K x Interval.
	Occurrences int           `json:"occurrences,omitempty"`
	FirstDue    time.Time     `json:"firstDue,omitzero"`
	Interval    time.Duration `json:"interval,omitempty"`
}

// OccurrenceCount is the number of times that the steps run.
func (j *Job) OccurrenceCount() int { return max(j.Occurrences, 1) }

// Due is the time of day from which occurrence k may start.
func (j *Job) Due(k int) time.Time {
	if j.Occurrences == 0 {
		return j.Accepted
	}
	return j.FirstDue.Add(time.Duration(k) * j.Interval)
}

// CriticalPath is the estimated time of the longest chain of dependent steps.
func (j *Job) CriticalPath() time.Duration {
	chain := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		for _, d := range j.Steps[i].DependsOn {
			chain[i] = max(chain[i], chain[d])
		}
		chain[i] += j.Steps[i].EstimatedRuntime
		longest = max(longest, chain[i])
	}
	return longest
}

// Objective is the time after its due time in which an occurrence should end.
func (j *Job) Objective() time.Duration {
	return time.Duration(j.Stretch*float64(j.CriticalPath())) + j.Grace
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

// PeakAccelerators is the largest number that the job uses in one step.
func (j *Job) PeakAccelerators() int {
	most := 0
	for i := range j.Steps {
		most = max(most, j.Steps[i].Count*j.Steps[i].Need.Accelerators)
	}
	return most
}
