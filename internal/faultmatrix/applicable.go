package faultmatrix

// exclusion states why a fault cannot occur at a step.
type exclusion struct {
	step   Step
	fault  Fault
	reason string
}

// exclusions lists the combinations of step and fault that cannot occur.
var exclusions = []exclusion{
	{StepMint, FaultCutBefore, "minting is local"},
	{StepMint, FaultCutAfter, "minting is local"},
	{StepMint, FaultSilent, "minting is local"},
	{StepMint, FaultBackendFailsAll, "minting involves no backend server"},
	{StepMint, FaultLeaseLapsed, "minting takes no lease"},
	{StepQueue, FaultAnswerLost, "queueing is local"},
	{StepReplay, FaultCutBefore, "replay is local"},
	{StepReplay, FaultCutAfter, "replay is local"},
	{StepReplay, FaultSilent, "replay is local"},
	{StepForward, FaultLeaseLapsed, "requests take no lease"},
	{StepQueue, FaultLeaseLapsed, "requests take no lease"},
	{StepSend, FaultLeaseLapsed, "requests take no lease"},
	{StepAnswer, FaultLeaseLapsed, "requests take no lease"},
	{StepLookup, FaultLeaseLapsed, "requests take no lease"},
	{StepAppend, FaultBackendFailsAll, "the log involves no backend server"},
	{StepReadBack, FaultBackendFailsAll, "the log involves no backend server"},
	{StepReplay, FaultBackendFailsAll, "the log involves no backend server"},
	{StepSnapshot, FaultBackendFailsAll, "the log involves no backend server"},
	{StepCatchUp, FaultBackendFailsAll, "the log involves no backend server"},
	{StepReadBack, FaultAnswerLost, "reads have no effect to lose"},
	{StepReplay, FaultAnswerLost, "reads have no effect to lose"},
	{StepCatchUp, FaultAnswerLost, "reads have no effect to lose"},
}

// NotApplicableReason returns why the fault cannot occur at the step, or "".
func NotApplicableReason(step Step, fault Fault) string {
	for _, e := range exclusions {
		if e.step == step && e.fault == fault {
			return e.reason
		}
	}
	return ""
}
