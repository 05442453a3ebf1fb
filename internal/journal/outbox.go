package journal

import (
	"errors"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/ports"
)

// stage is the stage of a pending entry.
type stage int

const (
	stageQueued  stage = iota // never sent
	stageSending              // in the append under way, for the first time
	stageDoubt                // sent without an answer
)

// pending is an entry that the publisher is responsible for.
type pending struct {
	entry  Entry
	bytes  int
	done   []func(AppendResult)
	stage  stage
	resend time.Time     // when a copy may be sent, in stageDoubt
	delay  time.Duration // from the next failed append to the resend after it
	cause  error         // of the doubt
}

// report is a result that waits to be delivered to its submitter.
type report struct {
	done   func(AppendResult)
	result AppendResult
}

// outbox holds the pending entries of a publisher. Its methods are pure
// transitions: they take the time and return or collect what is to be done.
type outbox struct {
	opts    PublisherOptions
	held    map[string]*pending // all pending entries by ID
	queue   []*pending          // stageQueued, in order of submission
	doubts  []*pending          // stageDoubt, in order of sending; may hold settled ones
	bytes   int                 // of held
	known   int64               // the highest known next offset of the log; 0 when not known
	read    int64               // the offset up to which, not including it, all entries were read back
	skipped bool                // reading skipped entries whose decisions were not looked up yet
	reports []report
}

// newOutbox returns an empty outbox.
func newOutbox(opts PublisherOptions) *outbox {
	return &outbox{opts: opts, held: make(map[string]*pending)}
}

// full reports whether an entry of the given size exceeds the bounds.
func (o *outbox) full(bytes int) bool {
	return len(o.held) >= o.opts.QueueEntries || o.bytes+bytes > o.opts.QueueBytes
}

// join adds done to a pending entry with the same ID; ok is false without one.
func (o *outbox) join(id string, done func(AppendResult)) (ok bool) {
	p, ok := o.held[id]
	if !ok {
		return false
	}
	p.done = append(p.done, done)
	if p.stage == stageDoubt {
		o.reports = append(o.reports, report{done, AppendResult{EntryID: id, State: AppendInDoubt, Err: p.cause}})
	}
	return true
}

// add queues an entry.
func (o *outbox) add(e Entry, bytes int, done func(AppendResult)) {
	p := &pending{entry: e, bytes: bytes, done: []func(AppendResult){done}, delay: o.opts.ResendAfter}
	o.held[e.ID] = p
	o.queue = append(o.queue, p)
	o.bytes += bytes
}

// take returns the entries of the next packet: copies that are due, then the
// queue. With none it returns the time until the next copy, 0 when there is none.
// Nothing is sent before the log's next offset is known, since it bounds entries.
func (o *outbox) take(now time.Time) (packet []*pending, pause time.Duration) {
	if o.known == 0 {
		return nil, 0
	}
	bytes := 0
	fits := func(p *pending) bool {
		return len(packet) == 0 || bytes+p.bytes <= o.opts.PacketBytes
	}
	o.doubts = o.unsettled()
	for _, p := range o.doubts {
		if wait := p.resend.Sub(now); wait > 0 {
			if pause == 0 || wait < pause {
				pause = wait
			}
			continue
		}
		if !fits(p) {
			return packet, pause
		}
		packet = append(packet, p)
		bytes += p.bytes
	}
	for len(o.queue) > 0 && fits(o.queue[0]) {
		p := o.queue[0]
		o.queue = o.queue[1:]
		o.bound(p)
		p.stage = stageSending
		packet = append(packet, p)
		bytes += p.bytes
	}
	return packet, pause
}

// bound sets the last offset at which a new entry may take effect.
func (o *outbox) bound(p *pending) {
	if p.entry.NotAfter == 0 {
		p.entry.NotAfter = o.known + SendWindow
	}
}

// unsettled returns the entries in doubt without those that were settled.
func (o *outbox) unsettled() []*pending {
	kept := make([]*pending, 0, len(o.doubts))
	for _, p := range o.doubts {
		if o.holds(p) {
			kept = append(kept, p)
		}
	}
	return kept
}

// holds reports whether p is still pending.
func (o *outbox) holds(p *pending) bool { return o.held[p.entry.ID] == p }

// answered books the answer to the append of a packet.
func (o *outbox) answered(packet []*pending, offset int64, err error, now time.Time) {
	if err == nil {
		o.known = max(o.known, offset+1)
	}
	for _, p := range packet {
		switch {
		case !o.holds(p): // read back before the answer
		case err == nil:
			o.settle(p, AppendResult{State: AppendStored, Offset: offset})
		case errors.Is(err, ports.ErrUnavailable) && p.stage == stageSending:
			o.settle(p, AppendResult{State: AppendNotSent, Err: err})
		default:
			o.doubt(p, err, now)
		}
	}
}

// doubt keeps an entry that may have been stored. A copy under the same ID and
// bound is harmless in replay, so one is sent after a delay.
func (o *outbox) doubt(p *pending, err error, now time.Time) {
	p.resend = now.Add(p.delay)
	p.delay = min(2*p.delay, o.opts.ResendAfterMax)
	if p.stage == stageDoubt {
		return
	}
	p.stage = stageDoubt
	p.cause = err
	o.doubts = append(o.doubts, p)
	o.report(p, AppendResult{State: AppendInDoubt, Err: err})
}

// observed settles the entries that were read back and those in doubt that the
// log passed without them. Reading is gap-free up to, not including, next, but for
// what was skipped.
func (o *outbox) observed(entries []LocatedEntry, next int64) {
	for _, e := range entries {
		p, ok := o.held[e.Entry.ID]
		if !ok || p.stage == stageQueued || e.Offset > p.entry.NotAfter {
			continue
		}
		o.settle(p, AppendResult{State: AppendStored, Offset: e.Offset})
	}
	o.read = max(o.read, next)
	o.known = max(o.known, next)
	if !o.skipped {
		o.expire()
	}
}

// expire settles the entries in doubt that the log passed without them.
func (o *outbox) expire() {
	for _, p := range o.unsettled() {
		if o.read > p.entry.NotAfter {
			o.settle(p, AppendResult{State: AppendNotSent, Err: ErrExpired})
		}
	}
}

// lookedUp is the answer to a look-up of an entry's decision.
type lookedUp struct {
	decision Decision
	ok       bool
}

// unasked returns the IDs of the entries that were sent and are not in asked.
func (o *outbox) unasked(asked map[string]lookedUp) []string {
	var ids []string
	for id, p := range o.held {
		if _, ok := asked[id]; !ok && p.stage != stageQueued {
			ids = append(ids, id)
		}
	}
	return ids
}

// jumped settles entries after reading went on from a snapshot of the given offset.
// It needs the snapshot's decision on each entry that was sent.
func (o *outbox) jumped(offset int64, asked map[string]lookedUp) {
	o.skipped = false
	o.read = max(o.read, offset+1)
	o.known = max(o.known, offset+1)
	for id, found := range asked {
		if p, ok := o.held[id]; ok && p.stage != stageQueued {
			o.jumpedOver(p, offset, found)
		}
	}
}

// jumpedOver settles one entry. When the snapshot may have forgotten its decision,
// it is left in doubt for good.
func (o *outbox) jumpedOver(p *pending, offset int64, found lookedUp) {
	switch {
	case found.ok && found.decision.Verdict == VerdictExpired:
		o.settle(p, AppendResult{State: AppendNotSent, Err: ErrExpired})
	case found.ok:
		o.settle(p, AppendResult{State: AppendStored, Offset: found.decision.Offset})
	case offset < p.entry.NotAfter: // a copy may still take effect
	case offset < p.entry.NotAfter+DecisionWindow-SendWindow:
		o.settle(p, AppendResult{State: AppendNotSent, Err: ErrExpired})
	case p.stage == stageDoubt:
		o.drop(p)
	default:
		o.settle(p, AppendResult{State: AppendInDoubt, Err: ErrOutcomeUnknown})
	}
}

// close reports the queue as not sent.
func (o *outbox) close() {
	for _, p := range o.queue {
		o.settle(p, AppendResult{State: AppendNotSent, Err: ErrStopped})
	}
	o.queue = nil
}

// settle reports the last state of an entry and forgets it.
func (o *outbox) settle(p *pending, result AppendResult) {
	o.report(p, result)
	o.drop(p)
}

// report collects a result for each submitter of p.
func (o *outbox) report(p *pending, result AppendResult) {
	result.EntryID = p.entry.ID
	for _, done := range p.done {
		o.reports = append(o.reports, report{done, result})
	}
}

// drop forgets an entry.
func (o *outbox) drop(p *pending) {
	delete(o.held, p.entry.ID)
	o.bytes -= p.bytes
}

// takeReports returns the collected results and forgets them.
func (o *outbox) takeReports() []report {
	reports := o.reports
	o.reports = nil
	return reports
}
