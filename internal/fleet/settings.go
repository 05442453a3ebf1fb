package fleet

import "time"

// Bounds are the deployment's figures that the loop keeps to.
type Bounds struct {
	// LeaseMax is the longest lease that a backend server grants.
	LeaseMax time.Duration
	// StopTimeout is the longest that a stop takes on a backend server.
	StopTimeout time.Duration
	// FinalStateRetention is how long a job's final state is told.
	FinalStateRetention time.Duration
	// CancelBound is how long after the acknowledgement of a cancellation a task may still be started.
	CancelBound time.Duration
}

// Timings of the loop.
const (
	tickInterval = 50 * time.Millisecond // decisions that depend on time alone
	passInterval = 45 * time.Millisecond // a little less, so that each tick goes through all
	planGap      = 15 * time.Millisecond // gathers the ends and submissions that come together

	heartbeatInterval = 250 * time.Millisecond // a third of holderTimeout
	// holderTimeout is the silence after which the holder counts as gone; a
	// take-over then fits in the 2 s goal.
	holderTimeout = 900 * time.Millisecond
	claimStagger  = 150 * time.Millisecond // between VMs, so that one claims first
	maxStaggered  = 5                      // VMs that wait for each other; more would delay a take-over
	weakerDelay   = 1 * time.Second        // per class of stronger VMs, which may be gone
	claimRetry    = 1 * time.Second        // an append's timeout
	// yieldToStronger is how long a holder acts before it hands the term to a stronger VM:
	// its survey is over by then.
	yieldToStronger = 1500 * time.Millisecond
	// yieldOverloaded is the same for an overloaded holder and its equals: several
	// take-overs, so that the term does not wander when no VM can carry the load.
	yieldOverloaded = 10 * time.Second
	// peerAlive is how recently a successor has to have answered a heartbeat: two intervals missed.
	peerAlive = 750 * time.Millisecond
	// overloadLag is how long events may wait for the loop: far above a round's cost, and
	// small against the bounds of seconds that starts have to keep to.
	overloadLag = 250 * time.Millisecond
	// overloadAfter is how long events wait too long before the VM counts as overloaded;
	// what gathers in a pause is worked off sooner.
	overloadAfter = 1 * time.Second
	// startMargin is kept of CancelBound for recording a placement and delivering its start.
	startMargin = 1 * time.Second
	// storeTimeout is how long the store may not answer a VM before it counts as lost: a
	// read that waits recordsWait.
	storeTimeout = 2 * time.Second
	// holderStoreTimeout is the same for the holder, whose reads wait holderWait and take
	// 0.3 s of a slow store; then a VM that reaches the store takes over.
	holderStoreTimeout = 1300 * time.Millisecond
	// holderRefusedTimeout is the same while the store refuses rather than is silent: more
	// than a rate limit's refusals last, which successful reads interrupt.
	holderRefusedTimeout = 500 * time.Millisecond
	// pauseLimit is the gap between two steps after which the VM was frozen.
	pauseLimit = 700 * time.Millisecond

	// lease bounds what a cut-off backend server goes on with; it outlasts a
	// take-over and the usual cut of 5.5 s.
	lease = 6500 * time.Millisecond
	// firstLease bounds how long a start without an answer stays in doubt.
	firstLease = 2500 * time.Millisecond
	// slowClock is how much longer a backend server's clock may take than ours.
	slowClock = 1.03
	// holderAuthority bounds how long a holder that was replaced may go on unnoticed.
	holderAuthority = 1 * time.Second

	holdWait      = 1 * time.Second        // a report waits this long for an end
	earlyHoldWait = 450 * time.Millisecond // half of stallMinimum
	holdRetry     = 150 * time.Millisecond // after a failed call
	// unrecordedHold is the same while the store does not take the ends of the newest
	// report: often enough to extend leases and to see further ends.
	unrecordedHold = 500 * time.Millisecond
	idleHold       = 5 * time.Second // reports of backend servers without tasks
	startRetryFor  = 1200 * time.Millisecond
	stopRetry      = 300 * time.Millisecond // StopTimeout and a round trip
	unlistedLimit  = 3 * time.Second        // entries of live backend servers are back within 2 s of an outage

	// clockSlack covers round trips when a deadline is worked out.
	clockSlack = 50 * time.Millisecond
	// endsPerReport is the most ends that one report lists.
	endsPerReport = 500
	// dropDelay is added to KeepFinal before a job's records are dropped.
	dropDelay    = 60 * time.Second
	dropInterval = 5 * time.Second
	// maxBatchRecords and maxBatchBytes keep an append well below the store's limit of a call, 2 MB.
	maxBatchRecords = 200
	maxBatchBytes   = 1 << 20
)
