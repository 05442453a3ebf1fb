package fleet

import "time"

// Bounds are the limits that the deployment sets.
type Bounds struct {
	// LeaseMax is the longest lease that a backend server accepts.
	LeaseMax time.Duration
	// StopTimeout is the longest time that a backend server takes to stop a run.
	StopTimeout time.Duration
	// FinalStateRetention is how long a job's final state can be queried.
	FinalStateRetention time.Duration
	// CancelBound is how long after the acknowledgement of a cancellation a task of the job may
	// still be started.
	CancelBound time.Duration
	// StartOrders is how many start orders can be under way at once; 0 means any number.
	StartOrders int
	// DrainBound is how long after a backend server has announced that it leaves a task may still
	// be started there.
	DrainBound time.Duration
	// ReclaimBound is how long after its acceptance a job that a guarantee covers may take until all tasks of its first
	// step have begun; 0 if it is not known.
	ReclaimBound time.Duration
	// FarFactor is how many times as long tasks take on other racks than the one that they run best on; 0 if it is not
	// known.
	FarFactor float64
	// EvacuationBound is how long after the request to evacuate an availability zone a task may still be started
	// there; 0 if the deployment sets no bound.
	EvacuationBound time.Duration
}

// Timings of the loop.
const (
	tickInterval      = 50 * time.Millisecond // between checks of what depends on time alone
	fullCheckInterval = 45 * time.Millisecond // a little less than tickInterval, so that each tick checks all backend servers
	minPlanInterval   = 15 * time.Millisecond // lets one round handle ends and submissions that arrive together

	heartbeatInterval = 250 * time.Millisecond // less than a third of holderTimeout
	// holderTimeout is the time without a heartbeat after which the holder counts as failed.
	// It keeps a take-over within its goal of 2 s.
	holderTimeout = 900 * time.Millisecond
	// unheardAfter is how long a VM that may claim the term can leave heartbeats unanswered before the holder
	// stores a record at least each presenceInterval, unless it does not reach more than the share mostUnreached
	// of the backend servers. The VM reads the first record within holderTimeout.
	unheardAfter     = 400 * time.Millisecond
	presenceInterval = 400 * time.Millisecond
	mostUnreached    = 0.1
	claimStagger     = 150 * time.Millisecond // between VMs of equal strength, so that one claims first
	maxClaimStaggers = 5                      // limits the total stagger, which delays a take-over
	weakerClaimDelay = 1 * time.Second        // for each class of stronger VMs, which may have failed too
	claimRetry       = 1 * time.Second        // longer than an append's timeout
	// yieldToStrongerAfter is how long a holder keeps the term before it hands it to a stronger
	// VM: the wait for first reports is over by then.
	yieldToStrongerAfter = 1500 * time.Millisecond
	// yieldOverloadedAfter is the same for an overloaded holder and VMs of equal strength. It is
	// several times as long as a take-over, so that the term does not move all the time when no
	// VM can carry the load.
	yieldOverloadedAfter = 10 * time.Second
	// peerAlive is how recently a VM has to have answered a heartbeat to be offered the term;
	// it may miss two.
	peerAlive = 750 * time.Millisecond
	// overloadLag is how long events may wait in the queue: far longer than a round takes, and
	// short compared with the bounds of seconds for a start.
	overloadLag = 250 * time.Millisecond
	// overloadAfter is how long the lag has to exceed overloadLag before the VM counts as
	// overloaded; the backlog of a pause is processed faster than that.
	overloadAfter = 1 * time.Second
	// startMargin is the part of CancelBound, DrainBound and EvacuationBound reserved for storing a placement and
	// delivering its start order.
	startMargin = 1 * time.Second
	// deliveryMargin is the part of the same bounds reserved for the delivery of a
	// start order that was sent.
	deliveryMargin = 500 * time.Millisecond
	// maxListAge is how long the list of backend servers is used while the store does not serve
	// their entries, about as long as a backend server stays after its announcement.
	maxListAge = 10 * time.Second
	// storeTimeout is the time without an answer after which a VM regards the store as lost. It
	// is as long as a read's wait, nonHolderRecordsWait.
	storeTimeout = 2 * time.Second
	// holderStoreTimeout is the same for the holder, whose reads wait holderRecordsWait and take
	// 0.3 s with a slow store; a VM that reaches the store takes over then.
	holderStoreTimeout = 1300 * time.Millisecond
	// holderRefusedTimeout is the same while the store refuses calls instead of not answering.
	// Refusals by a rate limit do not last that long, since successful reads interrupt them.
	holderRefusedTimeout = 500 * time.Millisecond
	// pauseThreshold is the time between two steps from which on the process counts as paused.
	pauseThreshold = 700 * time.Millisecond

	// leaseDuration bounds how long a backend server that is cut off goes on running tasks. It is
	// longer than a take-over and than the usual network cut of 5.5 s.
	leaseDuration = 6500 * time.Millisecond
	// firstLeaseDuration is used while no run on the backend server is confirmed. It bounds how
	// long a start without an answer stays in doubt.
	firstLeaseDuration = 2500 * time.Millisecond
	// maxTimeOfDayDifference bounds how much the times of day of two VMs differ.
	maxTimeOfDayDifference = 5 * time.Second
	// maxClockRatio bounds how much slower a backend server's clock may run than this VM's.
	maxClockRatio = 1.03

	holdWait      = 1 * time.Second        // how long a report waits for a run to end
	earlyHoldWait = 450 * time.Millisecond // the same while a new run shows no progress; half of minStall
	holdRetry     = 150 * time.Millisecond // after a failed call
	// unrecordedHoldInterval is the same while the ends of the newest report are not stored:
	// often enough to extend leases and to see further ends.
	unrecordedHoldInterval = 500 * time.Millisecond
	idleHoldInterval       = 5 * time.Second // for backend servers without runs
	// lateStartHoldInterval is the same while a start order without an answer may still arrive there: its next incarnation
	// refuses the order only once the holder has noticed the restart.
	lateStartHoldInterval = 400 * time.Millisecond
	// startRetryPeriod is how long a start without an answer is repeated on a backend server that does not
	// report either, and startRetryLimit on one that does: long enough for several orders, and shorter than the
	// members of a gang wait for each other.
	startRetryPeriod  = 1200 * time.Millisecond
	startRetryLimit   = 2500 * time.Millisecond
	stopRetry         = 300 * time.Millisecond // covers StopTimeout and a round trip
	unlistedRetention = 3 * time.Second        // live backend servers are listed again within 2 s after an outage

	// clockOvertaking is how much older than the newest one a reading of a clock may be: longer than a call lasts.
	clockOvertaking = 2500 * time.Millisecond
	// clockSlack covers round trips when the end of a lease is computed.
	clockSlack = 50 * time.Millisecond
	// endsPerReport is the largest number of ends in one report.
	endsPerReport = 500
	// dropDelay is added to FinalStateRetention before a job's records are deleted.
	dropDelay    = 60 * time.Second
	dropInterval = 5 * time.Second
	// maxBatchRecords and maxBatchBytes keep an append well below the store's limit of 2 MB per call.
	maxBatchRecords = 200
	maxBatchBytes   = 1 << 20
	// maxDropRecords bounds the records of one batch that delete the progress of jobs.
	maxDropRecords = 2000
)
