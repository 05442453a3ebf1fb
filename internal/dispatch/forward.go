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
	// peerSilence is the wait for a forwarded request before its outcome is asked for
	// on another call.
	peerSilence = time.Second
	// peerMisses failed look-ups in a row end the wait for a forwarded request.
	peerMisses = 2
	// maxCandidates bounds the VMs that are asked for the arbitration of a ticket.
	maxCandidates = 16
)

// forwardTicketed sends a request to the VM that arbitrates its ticket. The
// arbiter runs a ticket once however often it is asked, so that asking again, and
// asking VMs that turn out not to arbitrate it, is safe. Only the arbiter may say
// `not run`.
func (d *Dispatcher) forwardTicketed(ctx context.Context, v *View, r Request, t ticket.Ticket) Result {
	candidates := d.candidates(v, r, t)
	if r.Hops >= maxHops || len(candidates) == 0 {
		return unknown(r.ID, d.lostReason(r))
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	r.Hops++
	for _, address := range candidates {
		res, err := d.forwardTwice(ctx, address, r)
		if err == nil && !isNotArbiter(res) {
			return d.trusted(r, res)
		}
		if ctx.Err() != nil {
			return unknown(r.ID, ReasonInDoubt)
		}
	}
	r.Hops--
	return unknown(r.ID, d.lostReason(r))
}

// lostReason tells another VM to go on searching, and a caller that it was in vain.
func (d *Dispatcher) lostReason(r Request) model.Reason {
	if r.Hops > 0 {
		return ReasonNotArbiter
	}
	return ReasonArbiterGone
}

func isNotArbiter(r Result) bool {
	return r.Outcome == model.OutcomeUnknown && r.Reason == ReasonNotArbiter
}

// trusted checks the answer of another VM.
func (d *Dispatcher) trusted(r Request, res Result) Result {
	res.Request = r.ID
	switch {
	case res.Outcome == model.OutcomeNotRun:
		return notRun(r.ID, NotRunProof{kind: proofPeer, reason: res.Reason, retryAfter: res.RetryAfter})
	case res.Outcome == model.OutcomeDone && digestOf(res.Body) != res.Digest:
		d.metrics.badAnswers.Inc(1)
		return unknown(r.ID, ReasonInDoubt)
	default:
		return res
	}
}

// forwardTwice repeats a forward whose answer was lost. The request has a ticket or
// is idempotent.
func (d *Dispatcher) forwardTwice(ctx context.Context, address string, r Request) (Result, error) {
	res, err := d.forward(ctx, address, r)
	if errors.Is(err, ports.ErrInDoubt) && ctx.Err() == nil {
		return d.forward(ctx, address, r)
	}
	return res, err
}

type peerReply struct {
	result Result
	err    error
}

// forward sends a request to another VM and asks for its outcome when the answer
// takes long: the connection may be silent for good.
func (d *Dispatcher) forward(ctx context.Context, address string, r Request) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := make(chan peerReply, 1)
	go func() {
		res, err := d.ports.Peers.Forward(ctx, address, r)
		sent <- peerReply{res, err}
	}()
	for misses := 0; misses < peerMisses; {
		select {
		case reply := <-sent:
			return reply.result, reply.err
		case <-ctx.Done():
			return Result{}, ports.ErrInDoubt
		case <-time.After(peerSilence):
		}
		res, err := d.lookupAt(ctx, address, r)
		switch {
		case err == nil && settled(res):
			return res, nil
		case err == nil:
			misses = 0
		case errors.Is(err, ports.ErrNotFound):
			return Result{}, fmt.Errorf("%s never got the request: %w", address, ports.ErrInDoubt)
		default:
			misses++
		}
	}
	return Result{}, ports.ErrInDoubt
}

func (d *Dispatcher) lookupAt(ctx context.Context, address string, r Request) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	return d.ports.Peers.Lookup(ctx, address, r.ID, r.Ticket)
}

func settled(r Result) bool {
	return r.Outcome == model.OutcomeDone || r.Outcome == model.OutcomeFailed || r.Outcome == model.OutcomeNotRun
}

// candidates lists the addresses that may arbitrate a ticket: its own arbiter,
// then the VMs in the order in which a leaving arbiter chooses its successor. A VM
// that got the request from another one names only the successor that it knows.
func (d *Dispatcher) candidates(v *View, r Request, t ticket.Ticket) []string {
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
	for _, p := range successors(v, t.Address, t.Incarnation) {
		add(p.Address)
	}
	return out[:min(len(out), maxCandidates)]
}

// successors orders the live peers by preference for taking over the tickets of an
// incarnation: those of its availability zone first, then by rendezvous hashing, so
// that VMs with the same view agree without talking.
func successors(v *View, address string, from model.Incarnation) []PeerView {
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
		if near := boolOrder(a.AZ == zone, b.AZ == zone); near != 0 {
			return near
		}
		if x, y := rendezvous(from, a.Address), rendezvous(from, b.Address); x != y {
			return boolOrder(x > y, y > x)
		}
		return 0
	})
	return out
}

// boolOrder sorts true before false.
func boolOrder(a, b bool) int {
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

// passOn forwards an idempotent request of a VM that is stopping.
func (d *Dispatcher) passOn(ctx context.Context, v *View, r Request) Result {
	refused := NotRunProof{kind: proofNeverSent, reason: ReasonDraining, retryAfter: time.Second}
	if r.Hops >= maxHops {
		return notRun(r.ID, refused)
	}
	if r.Deadline.IsZero() {
		kind, _ := v.kind(r.Kind)
		r.Deadline = time.Now().Add(kindDeadline(kind))
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	r.Hops++
	inDoubt := false
	for _, p := range successors(v, d.options.Address, d.options.Incarnation) {
		res, err := d.forwardTwice(ctx, p.Address, r)
		if err == nil && (res.Outcome != model.OutcomeNotRun || !inDoubt) {
			return d.trusted(r, res)
		}
		inDoubt = inDoubt || !errors.Is(err, ports.ErrUnavailable)
		if ctx.Err() != nil {
			break
		}
	}
	if inDoubt {
		return unknown(r.ID, ReasonInDoubt)
	}
	return notRun(r.ID, refused)
}
