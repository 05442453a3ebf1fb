package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/admission"
	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// callers hand in jobs at any VM that is alive, as package intake and the adapter do it: a VM that follows the jobs
// refuses what the store does not hold, others ask such a VM. Callers repeat a job whose answer is lost, and return
// with one that was refused.
type callers struct {
	w                 *world
	rng               *rand.Rand
	accepted, refused map[model.JobID]bool
	refusals          int
}

const callerTries = 4

func (c *callers) alive(replica bool) *node {
	for range 100 {
		n := c.w.nodes[c.rng.IntN(len(c.w.nodes))]
		if !n.dead && (!replica || n.state.IsReplica() && n.state.Synced()) {
			return n
		}
	}
	return nil
}

func (c *callers) stored(id model.JobID) bool {
	for _, r := range c.w.store.part(SubmissionPartition(id)).records {
		if isSubmission(r, id) {
			return true
		}
	}
	return false
}

// refuses reports whether a VM refuses a job.
func (c *callers) refuses(n *node, j *job.Job) bool {
	if !n.state.IsReplica() {
		n = c.alive(true)
	}
	if n == nil || !n.state.Synced() || n.state.StoreInDoubt() {
		return false
	}
	if _, known := n.state.JobStatus(j.ID); known {
		return false
	}
	digest, age := n.state.Load()
	v := admission.Decide(admission.Picture{Digest: digest, Age: age}, admission.Request{Job: j, Service: service})
	return v.Refused && !c.stored(j.ID)
}

func (c *callers) call(j job.Job, tries int) {
	n := c.alive(false)
	if n == nil {
		return
	}
	again := func(after time.Duration) {
		if tries > 1 {
			c.w.at(after, func() { c.call(j, tries-1) })
		}
	}
	if c.refuses(n, &j) {
		c.refusals++
		c.refused[j.ID] = true
		again(time.Duration(1+c.rng.IntN(3000)) * time.Millisecond)
		return
	}
	r, err := job.SubmissionRecord(&j)
	assert.NilError(c.w.t.(*testing.T), err)
	c.w.oracle.jobs[j.ID] = &j
	c.w.store.append(c.w, AppendRequest{Partition: SubmissionPartition(j.ID), Records: []job.Record{r}, At: -1})
	delete(c.refused, j.ID)
	if c.rng.IntN(4) == 0 {
		again(time.Duration(20+c.rng.IntN(2000)) * time.Millisecond)
		return
	}
	c.accepted[j.ID] = true
}

// More work than there is room for, with answers that are lost and two holders that are killed: nothing of a job
// runs whose last answer was a refusal, and every job that was accepted ends.
func TestNothingRefusedRunsAndNoAcceptedJobIsForgotten(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newLargeWorldOf(t, largeStrong, 8)
			c := &callers{w: w, rng: rand.New(rand.NewPCG(seed, 2)), accepted: make(map[model.JobID]bool), refused: make(map[model.JobID]bool)}
			for i := range 150 {
				w.at(time.Duration(c.rng.IntN(12000))*time.Millisecond, func() {
					j := newJob(1+c.rng.IntN(60), oneAccelerator, 1+c.rng.IntN(2))
					j.ID, j.Queue, j.Service, j.Organisation = model.JobID(fmt.Sprintf("%016x", 1<<32+i)), testQueue, service, "o"
					j.Attempts, j.Stretch, j.Accepted, j.Steps[0].Gang = 3, 1, w.now, c.rng.IntN(2) == 0
					j.Priority = c.rng.IntN(3)
					c.call(j, callerTries)
				})
			}
			for _, at := range []int{5, 9} {
				w.at(time.Duration(at)*time.Second, func() {
					if h := w.holder(); h != nil {
						h.dead = true
					}
				})
			}
			w.run(20 * time.Second)
			assert.Assert(t, c.refusals > 0, "nothing is refused")
			for id := range c.refused {
				assert.Assert(t, !c.stored(id) && w.oracle.jobs[id] == nil, "job %s was refused and is stored", id)
			}
			for range 100 {
				w.run(2 * time.Second)
				if h := w.holder(); h != nil && !hasOpenJobs(h.state) {
					break
				}
			}
			w.oracle.checkAllEnded()
			for id := range c.accepted {
				assert.Equal(t, w.status(id), job.StatusDone)
			}
			t.Logf("%d jobs accepted, %d refusals, %d jobs refused to the end", len(c.accepted), c.refusals, len(c.refused))
		})
	}
}

func hasOpenJobs(s *State) bool { return len(s.openJobs()) > 0 }
