package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/eelgrassreach/eelgrassreach/internal/api"
	"github.com/eelgrassreach/eelgrassreach/internal/control"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
	"github.com/eelgrassreach/eelgrassreach/internal/standin"
)

// gangJob returns a job of two members, each of which fills a backend server.
func gangJob(id model.JobID, az model.AZ, runMS int) api.JobSubmitRequest {
	return api.JobSubmitRequest{
		ID:           id,
		Organisation: organisation,
		Shape:        model.GangShape{Tasks: 2, Accelerators: 8, Adjacency: model.AdjacentRack},
		Class:        "normal",
		AZ:           az,
		Payload:      fmt.Sprintf(`{"runMS":%d}`, runMS),
	}
}

func submitJob(t *testing.T, v *vm, job api.JobSubmitRequest) control.JobReceipt {
	t.Helper()
	receipt, err := v.client.SubmitJob(t.Context(), job)
	assert.NilError(t, err)
	return receipt
}

// awaitJob waits until a VM reports that a job is in a state.
func awaitJob(t *testing.T, v *vm, id model.JobID, state control.JobState) control.JobStatus {
	t.Helper()
	var status control.JobStatus
	eventually(t, func() string {
		var err error
		status, err = v.client.Job(t.Context(), id)
		if err != nil {
			return fmt.Sprintf("%s: job %s: %v", v.name, id, err)
		}
		if status.State != state {
			return fmt.Sprintf("%s: job %s is %s (%s), not %s", v.name, id, status.State, status.Reason, state)
		}
		return ""
	})
	return status
}

// checkNoViolations checks that no VM has reported an invariant violation.
func (c *cluster) checkNoViolations(t *testing.T, vms []*vm) {
	t.Helper()
	for _, v := range vms {
		s, err := v.client.Status(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, s.Violations, int64(0), "%s: %s", v.name, violationLines(v))
	}
}

func violationLines(v *vm) string {
	var found []string
	for line := range strings.Lines(v.log()) {
		if strings.Contains(line, "invariant") {
			found = append(found, line)
		}
	}
	return strings.Join(found, "")
}

// jobLoad submits small jobs, one after another, until it is stopped.
type jobLoad struct {
	running sync.WaitGroup
	stopped chan struct{}
}

func startJobs(t *testing.T, vms []*vm) *jobLoad {
	l := &jobLoad{stopped: make(chan struct{})}
	l.running.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-l.stopped:
				return
			default:
			}
			job := smallJob(model.JobID(fmt.Sprintf("small-%d", n)))
			_, err := vms[n%len(vms)].client.SubmitJob(t.Context(), job)
			if err != nil {
				t.Logf("submit: %v", err) // the VM refused the job; the load continues
			}
		}
	})
	return l
}

func (l *jobLoad) stop() {
	close(l.stopped)
	l.running.Wait()
}

// TestGangLosesMember cuts off a backend server that runs a member of a gang. The other
// member must stop within the lease, and the whole gang must start again without that server.
func TestGangLosesMember(t *testing.T) {
	t.Parallel()
	c := startCluster(t, zoneSize{"a", 2, 3})
	defer c.checkGangs(t, "gang-1")
	job := gangJob("gang-1", "a", 60_000)
	job.Idempotent = true
	submitJob(t, c.vms[0], job)
	running := awaitJob(t, c.vms[1], "gang-1", control.JobRunning)
	lost := c.backends[0]
	for _, b := range c.backends {
		if b.id == running.Servers[0] {
			lost = b
		}
	}
	lost.setFault(t, standin.Fault{Down: true, Paths: []string{ports.PathCommands, ports.PathStatus, ports.PathPing}})
	eventually(t, func() string {
		list := c.attempts(t)["gang-1"]
		if len(list) < 2 || len(list[1].tasks) < 2 {
			return fmt.Sprintf("no second attempt is running: %+v", list)
		}
		return ""
	})
	first := c.attempts(t)["gang-1"][0]
	assert.Assert(t, !first.completed())
	cancelJob(t, c.vms[0], "gang-1")
	c.checkNoViolations(t, c.vms)
}

// cancelJob cancels a job and waits until the VM reports it as cancelled.
func cancelJob(t *testing.T, v *vm, id model.JobID) {
	t.Helper()
	_, err := v.client.CancelJobs(t.Context(), api.JobCancelRequest{Jobs: []model.JobID{id}})
	assert.NilError(t, err)
	awaitJob(t, v, id, control.JobCancelled)
}

// TestLogDownAndHolderKilled makes the log unreachable while a gang runs, then kills the
// term holder, which renews the gang's leases. The gang must run to its end once, and a
// job submitted during the outage must run.
func TestLogDownAndHolderKilled(t *testing.T) {
	t.Parallel()
	c := startCluster(t, zoneSize{"a", 3, 2})
	submitJob(t, c.vms[0], gangJob("gang-1", "a", 9000))
	awaitJob(t, c.vms[0], "gang-1", control.JobRunning)
	holder := c.awaitHolder(t, "a", c.vms)
	c.platformLinks["a"].cut()
	c.awaitStatus(t, c.vms, "log unreachable", func(s api.StatusReply) bool { return !s.Platform.Reachable })
	holder.kill()
	rest := c.without(holder)
	successor := c.awaitHolder(t, "a", rest)
	submitJob(t, successor, smallJob("during-outage"))
	awaitJob(t, successor, "during-outage", control.JobWaiting)
	eventually(t, func() string {
		if list := c.attempts(t)["gang-1"]; len(list) != 1 || !list[0].completed() {
			return fmt.Sprintf("gang-1 has not run to its end in one attempt: %+v", list)
		}
		return ""
	})
	awaitJob(t, successor, "during-outage", control.JobDone)
	c.platformLinks["a"].heal(t)
	for _, v := range rest {
		awaitDurable(t, v, "gang-1")
		awaitDurable(t, v, "during-outage")
	}
	c.checkGangs(t)
	c.checkNoViolations(t, rest)
}

func smallJob(id model.JobID) api.JobSubmitRequest {
	job := gangJob(id, "", 200)
	job.Shape = model.GangShape{Tasks: 1, Accelerators: 1, Adjacency: model.AdjacentAny}
	return job
}

// awaitDurable waits until a VM has read from the log that a job is done.
func awaitDurable(t *testing.T, v *vm, id model.JobID) {
	t.Helper()
	eventually(t, func() string {
		status, err := v.client.Job(t.Context(), id)
		if err != nil || !status.Durable || status.State != control.JobDone {
			return fmt.Sprintf("%s: job %s: %+v, %v", v.name, id, status, err)
		}
		return ""
	})
}

// without returns all VMs but one.
func (c *cluster) without(excluded *vm) []*vm {
	var rest []*vm
	for _, v := range c.vms {
		if v != excluded {
			rest = append(rest, v)
		}
	}
	return rest
}

// TestZoneCutOff cuts an availability zone off from the platform and from the other zone.
// Both must keep serving requests and jobs, and agree on their state after the cut.
func TestZoneCutOff(t *testing.T) {
	t.Parallel()
	c := startCluster(t, zoneSize{"a", 1, 2}, zoneSize{"b", 1, 2})
	a, b := c.vms[0], c.vms[1]
	submitJob(t, b, gangJob("before", "b", 4000))
	awaitJob(t, b, "before", control.JobRunning)
	loadA := startLoad(t, []*vm{a}, callers/2, callTimeout, kindOrder, kindQuote)
	loadB := startLoad(t, []*vm{b}, callers/2, callTimeout, kindOrder, kindQuote)
	loadB.awaitFinished(20)

	c.platformLinks["b"].cut()
	a.peerLink.cut()
	b.peerLink.cut()
	c.awaitStatus(t, []*vm{b}, "cut off", func(s api.StatusReply) bool { return !s.Platform.Reachable && s.Partial != "" })
	c.publish(t, a, "during-cut", organisationRecord("newcomer"))
	c.publishWhileCutOff(t, b, "cut-off", organisationRecord("stray"))
	submitJob(t, b, smallJob("b-during-cut"))
	awaitJob(t, b, "b-during-cut", control.JobDone)
	awaitJob(t, b, "before", control.JobDone)
	submitJob(t, a, smallJob("a-during-cut"))
	awaitJob(t, a, "a-during-cut", control.JobDone)
	loadA.awaitFinished(40)
	loadB.awaitFinished(40)

	c.platformLinks["b"].heal(t)
	a.peerLink.heal(t)
	b.peerLink.heal(t)
	revision := c.revision(t, a)
	c.awaitStatus(t, []*vm{b}, "configuration published during the cut", func(s api.StatusReply) bool { return s.ConfigRevision == revision })
	c.awaitSameVerdict(t, "cut-off")
	for _, v := range c.vms {
		for _, id := range []model.JobID{"before", "a-during-cut", "b-during-cut"} {
			awaitDurable(t, v, id)
		}
	}
	all := append(loadA.stop(), loadB.stop()...)
	c.checkOutcomes(t, all)
	checkAllDone(t, all)
	c.checkGangs(t)
	c.checkNoViolations(t, c.vms)
}

// publishWhileCutOff publishes a change through a VM that cannot reach the log. The VM
// must return an error or an unknown verdict.
func (c *cluster) publishWhileCutOff(t *testing.T, v *vm, id string, records ...json.RawMessage) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	reply, err := v.client.PutConfig(ctx, api.ConfigChangeRequest{ID: id, Records: records})
	if err == nil && reply.Verdict != "unknown" {
		t.Errorf("a VM that cannot reach the log reported a change as %q", reply.Verdict)
	}
}

// awaitSameVerdict waits until all VMs report the same verdict on a change, or none of
// them knows it.
func (c *cluster) awaitSameVerdict(t *testing.T, id string) {
	t.Helper()
	eventually(t, func() string {
		verdicts := make(map[string]int)
		for _, v := range c.vms {
			reply, err := v.client.ConfigChange(t.Context(), id)
			if err != nil && api.ProblemType(err) != api.ProblemNotFound {
				return err.Error()
			}
			verdicts[reply.Verdict]++
		}
		if len(verdicts) > 1 || verdicts["unknown"] > 0 {
			return fmt.Sprintf("the verdicts differ or are unknown: %v", verdicts)
		}
		return ""
	})
}

// TestJobHome submits a job to a VM of another availability zone than the one that the
// job names. The job must run in the zone that it names.
func TestJobHome(t *testing.T) {
	t.Parallel()
	c := startCluster(t, zoneSize{"a", 1, 2}, zoneSize{"b", 1, 2})
	receipt := submitJob(t, c.vms[0], gangJob("gang-1", "b", 200))
	assert.Equal(t, receipt.HomeAZ, model.AZ("b"))
	awaitJob(t, c.vms[0], "gang-1", control.JobDone)
	for _, b := range c.backends {
		if n := len(b.record(t).Tasks); (n > 0) != (b.zone == "b") {
			t.Errorf("%s has records of %d tasks", b.id, n)
		}
	}
}

func (c *cluster) revision(t *testing.T, v *vm) int64 {
	t.Helper()
	s, err := v.client.Status(t.Context())
	assert.NilError(t, err)
	return s.ConfigRevision
}
