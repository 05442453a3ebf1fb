// Package replay applies placement plans to a zone in virtual time, for tests and
// measurements. It does not model processes or a network.
package replay

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/placement"
)

// State is a zone with its queue.
type State struct {
	Zone    placement.Zone
	Pending []placement.Gang // ordered by submission, then job
}

// Submit adds a gang to the queue.
func (s *State) Submit(g placement.Gang) {
	at, _ := slices.BinarySearchFunc(s.Pending, g, bySubmission)
	s.Pending = slices.Insert(s.Pending, at, g)
}

func bySubmission(a, b placement.Gang) int {
	return cmp.Or(a.Submitted.Compare(b.Submitted), cmp.Compare(a.Job, b.Job))
}

// Decide asks the policy for a plan and applies it.
func (s *State) Decide(policy placement.Policy) placement.Plan {
	plan := policy.Decide(s.Zone, s.Pending)
	s.Apply(plan)
	return plan
}

// Apply carries out a plan: it starts gangs, marks the evicted ones and applies
// promotions and demotions.
func (s *State) Apply(plan placement.Plan) {
	placed := slices.Clone(s.Zone.Placed)
	for i := range placed {
		gang := &placed[i]
		if slices.ContainsFunc(plan.Evictions, func(e placement.Eviction) bool { return e.Job == gang.Job }) {
			gang.Evicting = true
		}
		if slices.Contains(plan.Promotions, gang.Job) {
			gang.Borrowed = false
		}
		if slices.Contains(plan.Demotions, gang.Job) {
			gang.Borrowed = true
		}
	}
	starts := make(map[model.JobID]placement.Start, len(plan.Starts))
	for _, start := range plan.Starts {
		starts[start.Job] = start
	}
	var waiting []placement.Gang
	for _, g := range s.Pending {
		start, started := starts[g.Job]
		if !started {
			waiting = append(waiting, g)
			continue
		}
		waitedSince := g.Submitted
		if g.Queued.After(waitedSince) {
			waitedSince = g.Queued
		}
		g.Waited += s.Zone.Now.Sub(waitedSince)
		placed = append(placed, placement.PlacedGang{
			Gang:     g,
			Members:  start.Members,
			Borrowed: start.Borrowed,
			Started:  s.Zone.Now,
		})
	}
	slices.SortFunc(placed, func(a, b placement.PlacedGang) int { return cmp.Compare(a.Job, b.Job) })
	s.Zone.Placed = placed
	s.Pending = waiting
}

// Remove removes a placed gang that ended or was stopped; ok is false when it is not
// placed.
func (s *State) Remove(job model.JobID) (gang placement.PlacedGang, ok bool) {
	i := s.find(job)
	if i < 0 {
		return placement.PlacedGang{}, false
	}
	gang = s.Zone.Placed[i]
	s.Zone.Placed = slices.Delete(slices.Clone(s.Zone.Placed), i, i+1)
	return gang, true
}

// Requeue moves a placed gang back to the queue.
func (s *State) Requeue(job model.JobID) {
	if gang, ok := s.Remove(job); ok {
		gang.Queued = s.Zone.Now
		s.Submit(gang.Gang)
	}
}

// Find returns a placed gang; ok is false when it is not placed.
func (s *State) Find(job model.JobID) (gang placement.PlacedGang, ok bool) {
	i := s.find(job)
	if i < 0 {
		return placement.PlacedGang{}, false
	}
	return s.Zone.Placed[i], true
}

func (s *State) find(job model.JobID) int {
	return slices.IndexFunc(s.Zone.Placed, func(g placement.PlacedGang) bool { return g.Job == job })
}

// SetUsable changes whether a server takes new work. Gangs on it keep running.
func (s *State) SetUsable(id model.BackendServerID, usable bool) {
	servers := slices.Clone(s.Zone.Servers)
	for i := range servers {
		if servers[i].ID == id {
			servers[i].Usable = usable
		}
	}
	s.Zone.Servers = servers
}

// Lose makes a server unusable. Gangs with a member on it go back to the queue as a
// whole.
func (s *State) Lose(id model.BackendServerID) {
	s.SetUsable(id, false)
	for _, gang := range slices.Clone(s.Zone.Placed) {
		if slices.ContainsFunc(gang.Members, func(m placement.Member) bool { return m.Server == id }) {
			s.Requeue(gang.Job)
		}
	}
}

// Advance moves the virtual time forward.
func (s *State) Advance(d time.Duration) { s.Zone.Now = s.Zone.Now.Add(d) }
