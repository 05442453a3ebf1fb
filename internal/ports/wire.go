package ports

// The paths of the HTTP protocols of the platform and of backend servers.
const (
	PathLog        = "/v1/log"
	PathVMs        = "/v1/vms"
	PathStatus     = "/v1/status"
	PathCommands   = "/v1/commands"
	PathExecutions = "/v1/executions"
	// PathLookup follows PathExecutions and a request ID.
	PathLookup = "/lookup"
	PathPing   = "/v1/ping"
)

// The query parameters of a read of the log.
const (
	ParamFrom   = "from"
	ParamLimit  = "limit"
	ParamWaitMS = "waitMS"
)

// EffectNone is the value of Problem.Effect when the call had no effect.
const EffectNone = "none"

// ProblemCode is the cause of a refused call.
type ProblemCode string

// The codes that clients interpret.
const (
	CodeNotFound ProblemCode = "not-found"
	CodeTrimmed  ProblemCode = "trimmed"
)

// Problem is the body of a response whose status is not 200. The status alone proves
// nothing, since any HTTP server may send it.
type Problem struct {
	Code ProblemCode `json:"code,omitempty"`
	// Effect is EffectNone if the call certainly had no effect.
	Effect  string `json:"effect,omitempty"`
	Message string `json:"message"`
	// KeptMS, with CodeNotFound, is how long the server has remembered what it received,
	// in milliseconds. A restart clears this memory.
	KeptMS int64 `json:"keptMS,omitempty"`
}

// AppendReply answers an append to the log.
type AppendReply struct {
	Offset int64 `json:"offset"`
}

// VMListReply answers a read of the VM list.
type VMListReply struct {
	VMs []VMEntry `json:"vms"`
}

// CommandReply answers a CommandBatch.
type CommandReply struct {
	Results []TaskResult `json:"results"`
}
