package dispatch

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
	"github.com/eelgrassreach/eelgrassreach/internal/ports"
	"github.com/eelgrassreach/eelgrassreach/internal/ticket"
)

const (
	// maxHops bounds how often a request is forwarded.
	maxHops = 2
	// peerLookupDelay is the wait for the answer to a forwarded request before its
	// outcome is looked up by another call.
	peerLookupDelay = time.Second
	// maxPeerLookupFailures consecutive failed look-ups end the wait for a forwarded
	// request.
	maxPeerLookupFailures = 2
	// maxCandidates bounds the number of VMs that are tried as the arbiter of a ticket.
	maxCandidates = 16
)

// forwardTicketed forwards a request to the VM that arbitrates its ticket. The arbiter
// runs the request of a ticket at most once, however often it gets it, so it is safe to
// retry and to try VMs that turn out not to be the arbiter. Only the arbiter may return
// the outcome `not run`.
func (d *Dispatcher) forwardTicketed(ctx context.Context, v *View, r Request, t ticket.Ticket) Result {
	candidates := d.arbiterCandidates(v, r, t)
	if r.Hops >= maxHops || len(candidates) == 0 {
		return unknownResult(r.ID, d.noArbiterReason(r))
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	r.Hops++
	inDoubt := false
	for _, address := range candidates {
		res, err := d.forwardWithRetry(ctx, address, r)
		if err == nil && !isNotArbiter(res) && (!inDoubt || coversAllAttempts(r, res)) {
			return d.checkPeerResult(r, res)
		}
		inDoubt = inDoubt || !errors.Is(err, ports.ErrUnavailable)
		if ctx.Err() != nil {
			return unknownResult(r.ID, ReasonInDoubt)
		}
	}
	r.Hops--
	return unknownResult(r.ID, d.noArbiterReason(r))
}

// noArbiterReason returns the reason when no arbiter was found: a VM that forwarded the
// request goes on searching, a caller learns that the arbiter cannot be reached.
func (d *Dispatcher) noArbiterReason(r Request) model.Reason {
	if r.Hops > 0 {
		return ReasonNotArbiter
	}
	return ReasonArbiterUnreachable
}

func isNotArbiter(r Result) bool {
	return r.Outcome == model.OutcomeUnknown && r.Reason == ReasonNotArbiter
}

// checkPeerResult validates the result of another VM. A body that does not match its
// digest makes the outcome unknown.
func (d *Dispatcher) checkPeerResult(r Request, res Result) Result {
	res.Request = r.ID
	switch {
	case res.Outcome == model.OutcomeNotRun:
		return notRunResult(r.ID, NotRunProof{kind: proofPeer, reason: res.Reason, retryAfter: res.RetryAfter})
	case res.Outcome == model.OutcomeDone && digestOf(res.Body) != res.Digest:
		d.metrics.badAnswers.Inc(1)
		return unknownResult(r.ID, ReasonInDoubt)
	default:
		return res
	}
}

// forwardWithRetry forwards a request and does so once more when the answer was lost.
// This is safe because the request has a ticket or is idempotent. What became of the second
// call proves nothing of the first one, unless the outcome is that of both.
func (d *Dispatcher) forwardWithRetry(ctx context.Context, address string, r Request) (Result, error) {
	res, err := d.forward(ctx, address, r)
	if !errors.Is(err, ports.ErrInDoubt) || ctx.Err() != nil {
		return res, err
	}
	res, err = d.forward(ctx, address, r)
	if err != nil {
		return Result{}, fmt.Errorf("%w: the repeat: %v", ports.ErrInDoubt, err)
	}
	if !coversAllAttempts(r, res) {
		return Result{}, fmt.Errorf("%w: only the repeat is known not to have run: %s", ports.ErrInDoubt, res.Reason)
	}
	return res, nil
}

type peerReply struct {
	result Result
	err    error
}

// forward sends a request to another VM and looks up its outcome when the answer takes
// long, because the connection may have failed without an error. Without a ticket the other
// VM knows the request by its ID alone, which callers choose: an outcome found there may be
// that of an earlier request, and tells only that this call has not arrived or was answered.
func (d *Dispatcher) forward(ctx context.Context, address string, r Request) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan peerReply, 1)
	go func() {
		res, err := d.ports.Peers.Forward(ctx, address, r)
		replies <- peerReply{res, err}
	}()
	for lookupFailures := 0; lookupFailures < maxPeerLookupFailures; {
		select {
		case reply := <-replies:
			return reply.result, reply.err
		case <-ctx.Done():
			return Result{}, ports.ErrInDoubt
		case <-time.After(peerLookupDelay):
		}
		res, err := d.lookupAt(ctx, address, r)
		switch {
		case err == nil && isFinal(res) && r.Ticket != "":
			return res, nil
		case err == nil && !isFinal(res):
			lookupFailures = 0
		case errors.Is(err, ports.ErrNotFound):
			return Result{}, fmt.Errorf("%s has no record of the request: %w", address, ports.ErrInDoubt)
		default:
			lookupFailures++
		}
	}
	return Result{}, ports.ErrInDoubt
}

func (d *Dispatcher) lookupAt(ctx context.Context, address string, r Request) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	return d.ports.Peers.Lookup(ctx, address, r.ID, r.Ticket)
}

func isFinal(r Result) bool {
	return r.Outcome == model.OutcomeDone || r.Outcome == model.OutcomeFailed || r.Outcome == model.OutcomeNotRun
}

// arbiterCandidates returns the addresses of VMs that may arbitrate a ticket: the known
// successor of its arbiter, the arbiter that it names, then the other VMs in the order
// in which a leaving arbiter chooses its successor. For a request that another VM
// forwarded it returns only the known successor.
func (d *Dispatcher) arbiterCandidates(v *View, r Request, t ticket.Ticket) []string {
	d.mu.Lock()
	known := d.successor[t.Incarnation]
	d.mu.Unlock()
	var out []string
	add := func(address string) {
		if address != "" && address != d.options.Address && !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	add(known)
	if r.Hops > 0 {
		return out
	}
	add(t.Address)
	for _, p := range successorCandidates(v, t.Address, t.Incarnation) {
		add(p.Address)
	}
	return out[:min(len(out), maxCandidates)]
}

// successorCandidates returns the live peers in the order in which they are offered the
// tickets of an incarnation: those of its availability zone first, then by rendezvous
// hashing, so that VMs with the same view agree on the order without communicating.
func successorCandidates(v *View, address string, from model.Incarnation) []PeerView {
	if v == nil {
		return nil
	}
	zone := zoneOf(v, address)
	var out []PeerView
	for _, p := range v.Peers {
		if p.Alive && !p.Leaving && p.Address != address {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b PeerView) int {
		if zoneOrder := compareTrueFirst(a.AZ == zone, b.AZ == zone); zoneOrder != 0 {
			return zoneOrder
		}
		if x, y := rendezvous(from, a.Address), rendezvous(from, b.Address); x != y {
			return compareTrueFirst(x > y, y > x)
		}
		return 0
	})
	return out
}

// compareTrueFirst is a comparison that sorts true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

func zoneOf(v *View, address string) model.AZ {
	for _, p := range v.Peers {
		if p.Address == address {
			return p.AZ
		}
	}
	return v.AZ
}

func rendezvous(from model.Incarnation, address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(from))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(address))
	return h.Sum64()
}

// forwardIdempotent forwards an idempotent request to another VM because this one is
// draining.
func (d *Dispatcher) forwardIdempotent(ctx context.Context, v *View, r Request) Result {
	refused := NotRunProof{kind: proofNeverSent, reason: ReasonDraining, retryAfter: time.Second}
	if r.Hops >= maxHops {
		return notRunResult(r.ID, refused)
	}
	if r.Deadline.IsZero() {
		kind, _ := v.kind(r.Kind)
		r.Deadline = time.Now().Add(kindDeadline(kind))
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	r.Hops++
	inDoubt := false
	for _, p := range successorCandidates(v, d.options.Address, d.options.Incarnation) {
		res, err := d.forwardWithRetry(ctx, p.Address, r)
		if err == nil && (res.Outcome != model.OutcomeNotRun || !inDoubt) {
			return d.checkPeerResult(r, res)
		}
		inDoubt = inDoubt || !errors.Is(err, ports.ErrUnavailable)
		if ctx.Err() != nil {
			break
		}
	}
	if inDoubt {
		return unknownResult(r.ID, ReasonInDoubt)
	}
	return notRunResult(r.ID, refused)
}
