package control

import (
	"fmt"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/eventloop"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// attemptFacts is what really happened to one attempt.
type attemptFacts struct {
	job     model.JobID
	size    int
	started int
	running int
	done    int
	lost    bool      // a backend server that ran a member died and may have taken the result along
	first   time.Time // start of the first member
	last    time.Time // end of the last member; zero while one runs
}

// facts collects what the backend servers know, which no VM can.
func (c *cluster) facts() map[model.AttemptID]*attemptFacts {
	all := make(map[model.AttemptID]*attemptFacts)
	for _, id := range eventloop.SortedKeys(c.servers) {
		f := c.servers[id]
		f.expire(c.now)
		for _, t := range f.tasks {
			if t.started.IsZero() {
				continue
			}
			a := all[t.Attempt]
			if a == nil {
				a = &attemptFacts{job: t.Job, size: t.Members, first: t.started}
				all[t.Attempt] = a
			}
			a.add(t)
			a.lost = a.lost || f.dead
		}
	}
	return all
}

func (a *attemptFacts) add(t *fakeTask) {
	a.started++
	if t.started.Before(a.first) {
		a.first = t.started
	}
	switch t.State {
	case ports.TaskRunning:
		a.running++
	case ports.TaskDone:
		a.done++
	}
	if t.ended.After(a.last) {
		a.last = t.ended
	}
}

// observe checks the promises against what really happened.
func (c *cluster) observe() {
	for id, f := range c.servers {
		if f.stale > 0 {
			c.breach("%s carried out %d commands under an older token", id, f.stale)
		}
	}
	facts := c.facts()
	for id, a := range facts {
		c.observePartial(id, a)
		if a.started > a.size {
			c.breach("attempt %s of %s started %d members of %d", id, a.job, a.started, a.size)
		}
	}
	c.observeDouble(facts)
}

func (c *cluster) observePartial(id model.AttemptID, a *attemptFacts) {
	if a.running == 0 || a.running+a.done == a.size {
		delete(c.partial, id)
		return
	}
	since, ok := c.partial[id]
	if !ok {
		c.partial[id] = c.now
		return
	}
	if c.now.Sub(since) > c.settings.PartialBound()+c.settings.TickInterval {
		c.breach("attempt %s of %s ran partially for %v: %d of %d", id, a.job, c.now.Sub(since), a.running, a.size)
	}
}

// observeDouble reports attempts of one non-idempotent job that overlap, or start
// after an attempt was done whose backend servers all still tell so.
func (c *cluster) observeDouble(facts map[model.AttemptID]*attemptFacts) {
	for x, a := range facts {
		for y, b := range facts {
			if x == y || a.job != b.job || c.jobs[a.job].Idempotent || b.first.Before(a.first) {
				continue
			}
			if a.running > 0 || a.last.After(b.first) {
				c.breach("attempts %s and %s of %s overlap", x, y, a.job)
			}
			if a.done == a.size && !a.lost {
				c.breach("attempt %s of %s started after %s was done", y, a.job, x)
			}
		}
	}
}

func (c *cluster) breach(format string, args ...any) {
	c.breaches = append(c.breaches, fmt.Sprintf(format, args...))
}

// assertClean fails the test on any broken promise.
func (c *cluster) assertClean() {
	c.t.Helper()
	if len(c.breaches) > 0 {
		c.t.Fatalf("%d promises broken, first: %s", len(c.breaches), c.breaches[0])
	}
	if len(c.reported) > 0 {
		c.t.Fatalf("%d violations reported, first: %+v", len(c.reported), c.reported[0])
	}
}
