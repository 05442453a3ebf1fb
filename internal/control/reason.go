package control

import "github.com/eelgrassreach/eelgrassreach/internal/model"

// Reasons for refusals and for the state of waiting or ended jobs. A waiting job may also
// have a reason of package placement.
const (
	ReasonLogUnreachable      model.Reason = "the platform's log is unreachable"
	ReasonLogInDoubt          model.Reason = "an append is in doubt"
	ReasonMalformed           model.Reason = "malformed"
	ReasonNotReady            model.Reason = "not ready"
	ReasonLeaving             model.Reason = "this VM is leaving"
	ReasonUnknownOrganisation model.Reason = "unknown organisation"
	ReasonNeverFits           model.Reason = "no availability zone can ever hold the shape"
	ReasonNoHolder            model.Reason = "the home availability zone has no reachable term holder"
	ReasonPermitElsewhere     model.Reason = "the start permit was given to another VM"
	ReasonPermitPending       model.Reason = "waiting for the start permit to be read back"
	ReasonServerUnreachable   model.Reason = "a backend server that may still run the job is unreachable"
	ReasonSurveying           model.Reason = "the term holder is taking stock of running tasks"
	ReasonRetryDelayed        model.Reason = "waiting to be placed again after a refusal"
	ReasonPending             model.Reason = "waiting for a placement decision"
	ReasonRecorded            model.Reason = "as recorded in the log; the home's term holder knows more"
	ReasonFailedOnManyServers model.Reason = "failed on several healthy backend servers"
	ReasonServerLost          model.Reason = "a backend server was lost"
	ReasonServerLeaving       model.Reason = "a backend server is leaving"
	ReasonPreempted           model.Reason = "preempted for a guarantee"
	ReasonHoldRefused         model.Reason = "a backend server refused to hold a member"
	ReasonStartRefused        model.Reason = "a backend server refused to start a member"
	ReasonMemberLost          model.Reason = "a member was lost"
	ReasonMayHaveRun          model.Reason = "a restarted backend server forgot a task that may have run to its end"
	ReasonTaskFailed          model.Reason = "a task failed"
	ReasonPermitRefused       model.Reason = "the start permit was refused in replay"
	ReasonHolderLost          model.Reason = "the term holder was lost before the gang started"
	ReasonPartialTakenOver    model.Reason = "the gang was not whole when the term was taken over"
)
