// Package faultmatrix defines a table of protocol steps and injected faults. Each cell is
// tested by injecting its fault at its step. The report lists a cell as proved if its test
// passed, as red if its test failed, and as not proved if it applies but its test did not run.
package faultmatrix

// Step is a protocol step.
type Step string

// The steps, by protocol.
const (
	StepMint     Step = "ticket/mint"
	StepForward  Step = "request/forward"
	StepQueue    Step = "request/queue"
	StepSend     Step = "request/send"
	StepAnswer   Step = "request/answer"
	StepLookup   Step = "request/look-up"
	StepDrain    Step = "request/drain"
	StepHold     Step = "gang/hold"
	StepStart    Step = "gang/start"
	StepRenew    Step = "gang/renew"
	StepStop     Step = "gang/stop"
	StepClaim    Step = "term/claim"
	StepHandOver Step = "term/hand-over"
	StepTakeOver Step = "term/take-over"
	StepAppend   Step = "log/append"
	StepReadBack Step = "log/read-back"
	StepReplay   Step = "log/replay"
	StepSnapshot Step = "log/snapshot"
	StepCatchUp  Step = "log/catch-up"
)

// Steps lists all steps in the order of the report.
var Steps = []Step{
	StepMint, StepForward, StepQueue, StepSend, StepAnswer, StepLookup, StepDrain,
	StepHold, StepStart, StepRenew, StepStop,
	StepClaim, StepHandOver, StepTakeOver,
	StepAppend, StepReadBack, StepReplay, StepSnapshot, StepCatchUp,
}

// Fault is a failure injected at a step.
type Fault string

// The faults. "Process" means the VM that performs the step.
const (
	FaultKilled          Fault = "process killed"
	FaultFrozen          Fault = "process frozen"
	FaultCutBefore       Fault = "connection cut before effect"
	FaultCutAfter        Fault = "connection cut after effect"
	FaultSilent          Fault = "connection silent"
	FaultLogDown         Fault = "log down"
	FaultLogSlow         Fault = "log slow"
	FaultAnswerLost      Fault = "answer lost after effect"
	FaultListStale       Fault = "VM list stale"
	FaultLeaseLapsed     Fault = "lease lapsed while paused"
	FaultZoneCut         Fault = "availability zone cut off"
	FaultBackendFailsAll Fault = "backend server fails all"
)

// Faults lists all faults in the order of the report.
var Faults = []Fault{
	FaultKilled, FaultFrozen, FaultCutBefore, FaultCutAfter, FaultSilent, FaultLogDown,
	FaultLogSlow, FaultAnswerLost, FaultListStale, FaultLeaseLapsed, FaultZoneCut, FaultBackendFailsAll,
}
