package intake

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/boottime"
	"github.com/eelgrassreach/eelgrassreach/internal/fleet"
	"github.com/eelgrassreach/eelgrassreach/internal/job"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Result is the outcome of a call.
type Result int

// The results.
const (
	OK             Result = iota
	NoSuchQueue           // the configuration has no queue for the call
	NoSuchJob             // certain: no such job was accepted
	UnknownKey            // no organisation holds the key
	Invalid               // the job cannot be read or can never run
	TooLarge              // the body is over the configured size
	Unavailable           // certain: the call had no effect; it may be repeated
	OutcomeInDoubt        // the call may have had its effect
	TryAnotherVM          // this VM cannot decide the call; another one may
	Refused               // certain: the job is turned away for load, and nothing of it has run or will
	AskReplica            // this VM would refuse the job, but does not know whether it is stored: a replica does
)

// Answer is the result of a call, with the reason and the configuration it is based on.
type Answer struct {
	Result  Result
	Reason  string
	Version int64 // of the configuration that decided, when one did
	Status  job.Status
	Pending int
	// Note tells the submitter more about a success; mostly empty.
	Note string
	// InDoubt is set when the call may have had its effect here. It may still be forwarded,
	// since a job that is submitted or cancelled twice counts once.
	InDoubt bool
	// RetryAfter is the time after which a refused call may be repeated.
	RetryAfter time.Duration
}

// Call holds the parts of a submitter's call that every kind of call has.
type Call struct {
	Host, Path, Key string
	// Timeout is how long the submitter waits.
	Timeout time.Duration
	// Forwarded is set when another VM has forwarded the call; MinVersion is then the
	// oldest version of the configuration that may decide it.
	Forwarded  bool
	MinVersion int64
}

// Target is the queue or the job that a call is about.
type Target struct {
	Queue        fleet.Queue
	Organisation model.OrganisationID
	Job          model.JobID // empty for the queue itself
	MaxBody      int64
}

const (
	// answerMargin is the part of a submitter's timeout that is left to deliver the answer.
	answerMargin    = 250 * time.Millisecond
	maxStoreTimeout = 2500 * time.Millisecond
	// localStoreTimeout leaves time for another VM to store what the store does not accept
	// from this one.
	localStoreTimeout = 1000 * time.Millisecond
	// storeRetryAfter is how long the store is likely to be unavailable: outages last seconds.
	storeRetryAfter = 1 * time.Second
	// maxStoreSilence is the time without an answer from the store after which calls that
	// need it are refused.
	maxStoreSilence = 2500 * time.Millisecond
	// findTimeout bounds the search in the store for a job that is not known here.
	findTimeout = 700 * time.Millisecond
	// revokeMargin is subtracted from the bound on honouring revoked keys, to allow for clock
	// differences and for the time to deliver the answer.
	revokeMargin = 500 * time.Millisecond
)

// Options configures a Service.
type Options struct {
	Loop  *fleet.Loop
	Store fleet.Store
	// RevokeBound is how long a revoked key may still be honoured.
	RevokeBound time.Duration
	Log         *zap.Logger
	Counters    Counters
}

// Service answers submitters' calls.
type Service struct {
	options Options
	// newestVersion is the newest version of the configuration that other VMs have
	// answered with.
	newestVersion atomic.Int64
	appenders     map[fleet.Partition]*appender
	admission     admissionState
	asking        sync.Mutex // held while it is worked out where a job would go
}

// New returns a service that stores nothing until Run is called.
func New(o Options) *Service {
	s := &Service{options: o, appenders: make(map[fleet.Partition]*appender), admission: newAdmissionState()}
	for _, p := range fleet.Partitions() {
		s.appenders[p] = newAppender(o.Store, p)
	}
	return s
}

// Run stores accepted records until ctx ends.
func (s *Service) Run(ctx context.Context) {
	for _, a := range s.appenders {
		go a.run(ctx)
	}
	<-ctx.Done()
}

// Ready reports whether this VM can serve new callers.
func (s *Service) Ready(ctx context.Context) bool {
	c, asOf := s.options.Loop.Config()
	if c == nil || s.stale(asOf) {
		return false
	}
	ready := false
	err := s.options.Loop.Query(ctx, func(st *fleet.State) { ready = st.Synced() && st.StoreSilence() < maxStoreSilence })
	return err == nil && ready
}

// stale reports whether a configuration that was last confirmed at asOf is too old: it
// could honour revoked keys for longer than RevokeBound.
func (s *Service) stale(asOf time.Time) bool {
	return boottime.Now().Sub(asOf) > s.options.RevokeBound-revokeMargin
}

// Route finds the queue of a call and checks its key. The target is valid when the
// answer's result is OK.
func (s *Service) Route(c Call) (Target, Answer) {
	config, asOf := s.options.Loop.Config()
	if config == nil {
		return Target{}, Answer{Result: TryAnotherVM, Reason: "no configuration yet", RetryAfter: storeRetryAfter}
	}
	if s.stale(asOf) || config.Version < c.MinVersion || config.Version < s.newestVersion.Load() {
		return Target{}, s.staleAnswer(config, asOf)
	}
	q, rest := config.QueueFor(c.Host, c.Path)
	if q == nil {
		return Target{}, Answer{Result: NoSuchQueue, Version: config.Version, Reason: "no queue for this host and path"}
	}
	owner, known := config.Owner(c.Key)
	t := Target{Queue: *q, Organisation: owner, Job: model.JobID(rest), MaxBody: config.MaxBody}
	if !known && !q.Public {
		return t, Answer{Result: UnknownKey, Version: config.Version, Reason: "no organisation holds this key"}
	}
	return t, Answer{Version: config.Version}
}

// ObserveVersion records that a caller of this VM has seen the effect of a version of the
// configuration at another VM. This VM does not apply older versions any more.
func (s *Service) ObserveVersion(version int64) {
	for {
		old := s.newestVersion.Load()
		if version <= old || s.newestVersion.CompareAndSwap(old, version) {
			return
		}
	}
}

// NewestVersion returns the newest version that a caller of this VM may have seen.
func (s *Service) NewestVersion() int64 {
	if c, _ := s.options.Loop.Config(); c != nil {
		return max(c.Version, s.newestVersion.Load())
	}
	return s.newestVersion.Load()
}

func (s *Service) staleAnswer(c *fleet.Config, asOf time.Time) Answer {
	age := boottime.Now().Sub(asOf)
	return Answer{
		Result: TryAnotherVM, RetryAfter: storeRetryAfter, Version: c.Version,
		Reason: fmt.Sprintf("configuration %d may be old: it was last confirmed %v ago", c.Version, age.Round(time.Millisecond)),
	}
}

// Submit stores a job and acknowledges it. One that is known to be stored is acknowledged at once: a refusal of
// the repeat would say that it never runs. One that comes too late for its caller is refused.
func (s *Service) Submit(ctx context.Context, c Call, t Target, j *job.Job) Answer {
	stored, a := s.prepareJob(ctx, t, j)
	if stored || a.Result != OK {
		return a
	}
	if a := s.admit(ctx, c, j); a.Result != OK {
		return a
	}
	return s.storeJob(ctx, c, j)
}

// SubmitAnyway is Submit without the question whether the job comes too late.
func (s *Service) SubmitAnyway(ctx context.Context, c Call, t Target, j *job.Job) Answer {
	stored, a := s.prepareJob(ctx, t, j)
	if stored || a.Result != OK {
		return a
	}
	return s.storeJob(ctx, c, j)
}

func (s *Service) storeJob(ctx context.Context, c Call, j *job.Job) Answer {
	record, err := job.SubmissionRecord(j)
	if err != nil {
		return Answer{Result: Invalid, Reason: err.Error()}
	}
	if a := s.checkStore(ctx); a.Result != OK {
		return a
	}
	s.storingBegins(j.ID)
	a := s.store(ctx, c, j.ID, record, func() { s.storingUnanswered(j.ID) })
	s.storingEnds(j, a)
	return a
}

// prepareJob adds the settings of its queue to a job and refuses a job that can never run. It reports whether
// the job is known to be stored already.
func (s *Service) prepareJob(ctx context.Context, t Target, j *job.Job) (bool, Answer) {
	if !validID(t.Job) {
		return false, Answer{Result: Invalid, Reason: fmt.Sprintf("job ID %q is not 16 hexadecimal digits", t.Job)}
	}
	q := t.Queue
	j.ID, j.Queue, j.Service, j.Organisation = t.Job, q.Name, q.Service, t.Organisation
	j.Priority, j.Attempts, j.Stretch, j.Grace, j.Advised = q.Priority, max(q.Attempts, 1), q.Stretch, q.Grace, q.Advised
	j.Accepted = time.Now().UTC()
	if err := j.Check(); err != nil {
		return false, Answer{Result: Invalid, Reason: strings.ReplaceAll(err.Error(), "\n", "; ")}
	}
	var findings []string
	var stored bool
	err := s.options.Loop.Query(ctx, func(st *fleet.State) {
		if _, stored = st.JobStatus(j.ID); stored {
			return
		}
		for i := range j.Steps {
			if !st.CouldFit(j.Service, &j.Steps[i]) {
				findings = append(findings, fmt.Sprintf("steps[%d]: no backend server of service %s can hold a task of %+v", i, j.Service, j.Steps[i].Need))
			}
		}
	})
	if err != nil {
		return false, Answer{Result: Unavailable, Reason: err.Error(), RetryAfter: storeRetryAfter}
	}
	if len(findings) > 0 {
		return false, Answer{Result: Invalid, Reason: strings.Join(findings, "; ")}
	}
	return stored, Answer{}
}

// validID reports whether id is 16 hexadecimal digits.
func validID(id model.JobID) bool {
	if len(id) != 16 {
		return false
	}
	return strings.Trim(string(id), "0123456789abcdefABCDEF") == ""
}

// checkStore refuses a call at once when the store has not answered for so long that the
// record would not be stored before the submitter gives up.
func (s *Service) checkStore(ctx context.Context) Answer {
	var silence time.Duration
	if err := s.options.Loop.Query(ctx, func(st *fleet.State) { silence = st.StoreSilence() }); err != nil {
		return Answer{Result: Unavailable, Reason: err.Error(), RetryAfter: storeRetryAfter}
	}
	if silence > maxStoreSilence {
		reason := fmt.Sprintf("the store has not answered for %v", silence.Round(time.Millisecond))
		return Answer{Result: TryAnotherVM, Reason: reason, RetryAfter: storeRetryAfter}
	}
	return Answer{}
}

// store stores a record. It calls unanswered, if that is not nil, for each append of it that gets no answer.
func (s *Service) store(ctx context.Context, c Call, id model.JobID, r job.Record, unanswered func()) Answer {
	timeout := min(c.Timeout-answerMargin, maxStoreTimeout)
	if !c.Forwarded {
		timeout = min(timeout, localStoreTimeout)
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := boottime.Now()
	err := s.appenders[fleet.SubmissionPartition(id)].add(call, r, unanswered)
	s.options.Counters.StoreLatency.RecordDuration(boottime.Now().Sub(began))
	switch {
	case err == nil:
		return Answer{}
	case errors.Is(err, fleet.ErrNoEffect):
		return Answer{Result: TryAnotherVM, Reason: "not stored: " + err.Error(), RetryAfter: storeRetryAfter}
	default:
		return Answer{Result: TryAnotherVM, InDoubt: true, Reason: "storing: " + err.Error()}
	}
}

// notFollowed is the answer of a VM that leaves the jobs to replicas.
var notFollowed = Answer{Result: TryAnotherVM, Reason: "this VM does not follow the jobs, and no VM that does has answered", RetryAfter: storeRetryAfter}

// Status returns a job's recorded state.
func (s *Service) Status(ctx context.Context, t Target) Answer {
	if !validID(t.Job) {
		return Answer{Result: NoSuchJob, Reason: "not a job ID"}
	}
	status, known, follows := job.Status(""), false, false
	err := s.options.Loop.Query(ctx, func(st *fleet.State) {
		status, known = st.JobStatus(t.Job)
		follows = st.IsReplica()
	})
	switch {
	case err != nil:
		return Answer{Result: Unavailable, Reason: err.Error(), RetryAfter: storeRetryAfter}
	case !follows:
		return notFollowed
	case known:
		return Answer{Status: status}
	}
	return s.findInStore(ctx, t.Job)
}

// findInStore searches the store for a job that is not known here, so that no stored job is
// reported as unknown.
func (s *Service) findInStore(ctx context.Context, id model.JobID) Answer {
	call, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	synced := false
	if err := s.options.Loop.Query(call, func(st *fleet.State) { synced = st.Synced() }); err != nil || !synced {
		return Answer{Result: TryAnotherVM, Reason: "the stored jobs have not been read yet", RetryAfter: storeRetryAfter}
	}
	found, err := s.options.Loop.FindJob(call, id)
	switch {
	case err != nil:
		return Answer{Result: TryAnotherVM, Reason: "job not known here, and the store does not answer: " + err.Error(), RetryAfter: storeRetryAfter}
	case found.Submitted && found.Cancelled:
		return Answer{Status: job.StatusCancelled}
	case found.Submitted:
		return Answer{Status: job.StatusQueued}
	case found.InDoubt || s.isStoring(id):
		return Answer{Result: Unavailable, Reason: "the store has no such job yet, but its submission may be under way", RetryAfter: storeRetryAfter}
	default:
		return Answer{Result: NoSuchJob, Reason: "the store has no such job"}
	}
}

// Cancel stores a cancellation and acknowledges it, also that of a job that is not known: no read can prove that a
// submission without an answer never arrives.
func (s *Service) Cancel(ctx context.Context, c Call, t Target) Answer {
	if !validID(t.Job) {
		return Answer{Result: NoSuchJob, Reason: "not a job ID"}
	}
	var needed fleet.Cancellation
	follows, note := false, ""
	err := s.options.Loop.Query(ctx, func(st *fleet.State) {
		needed, follows = st.Cancellation(t.Job), st.IsReplica()
		if _, known := st.JobStatus(t.Job); !known {
			note = "no such job is stored; one that arrives under this ID stays cancelled"
		}
	})
	switch {
	case err != nil:
		return Answer{Result: Unavailable, Reason: err.Error(), RetryAfter: storeRetryAfter}
	case !follows:
		return notFollowed
	case needed == fleet.CancellationUndecided:
		return Answer{Result: TryAnotherVM, Reason: "the stored jobs have not been read yet", RetryAfter: storeRetryAfter}
	case needed == fleet.CancellationHolds:
		return Answer{Note: note}
	case needed == fleet.CancellationRefused:
		s.options.Counters.CancelsRefused.Inc(1)
		return Answer{Result: Unavailable, Reason: "too many jobs that were never submitted are cancelled", RetryAfter: fleet.StoreDoubt}
	}
	if a := s.checkStore(ctx); a.Result != OK {
		return a
	}
	a := s.store(ctx, c, t.Job, job.CancellationRecord(t.Job), nil)
	if a.Result == OK {
		a.Note = note
	}
	return a
}

// Pending returns how many jobs of a queue have not begun.
func (s *Service) Pending(ctx context.Context, t Target) Answer {
	a := Answer{}
	err := s.options.Loop.Query(ctx, func(st *fleet.State) {
		if !st.IsReplica() {
			a = notFollowed
			return
		}
		a.Pending = st.Pending(t.Queue.Name)
		if !st.Synced() {
			a.Result, a.Reason, a.RetryAfter = TryAnotherVM, "the stored jobs have not been read yet", storeRetryAfter
		}
	})
	if err != nil {
		return Answer{Result: Unavailable, Reason: err.Error(), RetryAfter: storeRetryAfter}
	}
	return a
}

// ForwardTargets returns the VMs that may be able to decide a call that this one cannot, the
// likeliest first. Those that store something go to the holder first, since it reaches the store.
func (s *Service) ForwardTargets(ctx context.Context, stores bool) []string {
	var list []string
	err := s.options.Loop.Query(ctx, func(st *fleet.State) {
		if h := st.HolderForwardAddress(); h != "" && stores {
			list = append(list, h)
		}
		for _, p := range st.ReadTargets() {
			if !slices.Contains(list, p) {
				list = append(list, p)
			}
		}
	})
	if err != nil {
		s.options.Log.Debug("cannot list the VMs to forward a call to", zap.Error(err))
	}
	return list
}
