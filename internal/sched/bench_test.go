package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// nearlyFullSnapshot returns a snapshot of n nearly full backend servers with a backlog
// of pending steps.
func nearlyFullSnapshot(n, backlog int) Snapshot {
	now := time.Unix(1000, 0)
	s := Snapshot{Now: now}
	for i := range n {
		id := model.BackendServerID(fmt.Sprintf("s%04d", i))
		capacity := job.Resources{MilliCPU: 32000, MemoryMB: 65536, Accelerators: 8}
		task := job.Resources{MilliCPU: 3500, MemoryMB: 7000, Accelerators: 1}
		s.Servers = append(s.Servers, Server{
			ID: id, Service: "desk", Rack: model.RackID(fmt.Sprintf("r%d", i/8)), Capacity: capacity, Free: capacity.Sub(task.Times(7)),
		})
		for k := range 7 {
			s.Preemptible = append(s.Preemptible, PreemptibleTask{
				Key: job.GroupKey{Job: model.JobID(fmt.Sprintf("held%04d", i))}, Index: k, Server: id, Need: task, UnsavedWork: float64(k),
			})
		}
	}
	for i := range backlog {
		step := &job.Step{Count: 5, Need: job.Resources{MilliCPU: 3700, MemoryMB: 7600, Accelerators: 8}, Gang: i%2 == 0, SameRack: i%4 == 0}
		s.Pending = append(s.Pending, PendingStep{
			Key: job.GroupKey{Job: model.JobID(fmt.Sprintf("want%04d", i))}, Service: "desk", Step: step, Tasks: []int{0, 1, 2, 3, 4},
			Priority: i % 3, Urgent: i%3 == 0, Due: now, Objective: now.Add(4 * time.Second), Remaining: 2 * time.Second,
		})
	}
	return s
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{350, 1100, 2900} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			s := nearlyFullSnapshot(n, 60)
			for b.Loop() {
				Decide(s)
			}
		})
		b.Run(fmt.Sprintf("servers=%d/unlike", n), func(b *testing.B) {
			s := nearlyFullSnapshot(n, 60)
			for i := range s.Servers {
				s.Servers[i].Pace = []float64{0.55, 1, 1, 1.2}[i%4]
			}
			for b.Loop() {
				Decide(s)
			}
		})
	}
}

// BenchmarkDecideByShapes places many tasks of several shapes on half empty backend servers, by room and by shapes.
func BenchmarkDecideByShapes(b *testing.B) {
	for _, n := range []int{350, 1100, 2900} {
		for _, byShapes := range []bool{false, true} {
			b.Run(fmt.Sprintf("servers=%d/shapes=%v", n, byShapes), func(b *testing.B) {
				s := nearlyFullSnapshot(n, 60)
				demand := NewDemand(map[string]job.Resources{"desk": s.Servers[0].Capacity})
				for i := range s.Servers {
					s.Servers[i].Free = s.Servers[i].Capacity
					if i%2 == 0 {
						s.Servers[i].Free.Accelerators = 3
					}
				}
				for i := range s.Pending {
					p := &s.Pending[i]
					p.Step.Need = job.Resources{MilliCPU: 3700 + 4000*(i%3), MemoryMB: 7600, Accelerators: 1 + i%4}
					p.Runtime = 2 * time.Second
					demand.Add("desk", p.Step, p.Step.Count)
				}
				if byShapes {
					s.Shapes = demand.Shapes()
				}
				for b.Loop() {
					Decide(s)
				}
			})
		}
	}
}
