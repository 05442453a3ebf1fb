package fleet

import (
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/sched"
)

// shapesInterval is how long the shapes that open jobs ask for are used before they are counted again.
const shapesInterval = time.Second

// shapesOf returns what the open jobs ask for, whether they wait or run. It follows from the records alone, so
// that a new holder knows it at once.
func (s *State) shapesOf(open []*job.State) []sched.Shape {
	if s.shapes != nil && s.now.Sub(s.shapesAt) < shapesInterval {
		return s.shapes
	}
	s.shapes, s.shapesAt = s.countShapes(open), s.now
	return s.shapes
}

func (s *State) countShapes(open []*job.State) []sched.Shape {
	largest := make(map[string]job.Resources)
	for _, v := range s.servers {
		if v.listed {
			largest[v.entry.Service] = largest[v.entry.Service].Max(v.entry.Capacity)
		}
	}
	demand := sched.NewDemand(largest)
	for _, st := range open {
		service := s.currentService(st.Job)
		for i := range st.Job.Steps {
			if step := &st.Job.Steps[i]; !step.LongRunning {
				demand.Add(service, step, step.Count)
			}
		}
	}
	return demand.Shapes()
}
