package fleet

// stopCause is why the holder stops a run.
type stopCause string

const (
	stopPreempted  stopCause = "preempted"   // makes room for another step
	stopStraggler  stopCause = "straggler"   // is moved off a slow backend server
	stopStalled    stopCause = "stalled"     // makes no progress
	stopDraining   stopCause = "draining"    // its backend server leaves before its end
	stopNotNeeded  stopCause = "not_needed"  // its task or its job has ended
	stopInDoubt    stopCause = "in_doubt"    // it is not certain whether its start is carried out
	stopUnexpected stopCause = "unexpected"  // the holder has not placed it there
	stopGangBroken stopCause = "gang_broken" // another member of its gang has ended
)
