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
	stageSending              // in the append in progress, for the first time
	stageInDoubt              // sent without an answer
)

// pending is a submitted entry whose outcome is not known yet.
type pending struct {
	entry       Entry
	bytes       int
	done        []func(AppendResult)
	stage       stage
	resendAt    time.Time     // when a copy may be sent, in stageInDoubt
	resendDelay time.Duration // between the next append without an answer and the copy after it
	doubtErr    error         // the error of the first append without an answer
}

// pendingReport is a result that was not delivered to its submitter yet.
type pendingReport struct {
	done   func(AppendResult)
	result AppendResult
}

// outbox holds the pending entries of a publisher. Its methods do no I/O and read
// no clock: the time is a parameter, and results are returned or collected in
// reports.
type outbox struct {
	opts      PublisherOptions
	pending   map[string]*pending // all pending entries by ID
	queue     []*pending          // stageQueued, in order of submission
	inDoubt   []*pending          // stageInDoubt, in order of sending; may include resolved ones
	bytes     int                 // the total size of pending
	knownNext int64               // the highest known next offset of the log; 0 when not known
	readNext  int64               // all entries before this offset were read back
	skipped   bool                // reading skipped to a snapshot whose decisions were not looked up yet
	reports   []pendingReport
}

// newOutbox returns an empty outbox.
func newOutbox(opts PublisherOptions) *outbox {
	return &outbox{opts: opts, pending: make(map[string]*pending)}
}

// full reports whether one more entry of the given size would exceed the bounds.
func (o *outbox) full(bytes int) bool {
	return len(o.pending) >= o.opts.QueueEntries || o.bytes+bytes > o.opts.QueueBytes
}

// addCallback adds done to the pending entry with the given ID; ok is false when
// there is none.
func (o *outbox) addCallback(id string, done func(AppendResult)) (ok bool) {
	p, ok := o.pending[id]
	if !ok {
		return false
	}
	p.done = append(p.done, done)
	if p.stage == stageInDoubt {
		o.reports = append(o.reports, pendingReport{done, AppendResult{EntryID: id, State: AppendInDoubt, Err: p.doubtErr}})
	}
	return true
}

// add queues an entry.
func (o *outbox) add(e Entry, bytes int, done func(AppendResult)) {
	p := &pending{entry: e, bytes: bytes, done: []func(AppendResult){done}, resendDelay: o.opts.ResendAfter}
	o.pending[e.ID] = p
	o.queue = append(o.queue, p)
	o.bytes += bytes
}

// nextPacket returns the entries of the next packet: copies that are due, then
// queued entries. For an empty packet it returns the time until the next copy is
// due, 0 when there is none. Nothing is sent before the log's next offset is known,
// because setNotAfter needs it.
func (o *outbox) nextPacket(now time.Time) (packet []*pending, pause time.Duration) {
	if o.knownNext == 0 {
		return nil, 0
	}
	bytes := 0
	fits := func(p *pending) bool {
		return len(packet) == 0 || bytes+p.bytes <= o.opts.PacketBytes
	}
	o.inDoubt = o.unresolved()
	for _, p := range o.inDoubt {
		if wait := p.resendAt.Sub(now); wait > 0 {
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
		o.setNotAfter(p)
		p.stage = stageSending
		packet = append(packet, p)
		bytes += p.bytes
	}
	return packet, pause
}

// setNotAfter sets the last offset at which p may take effect, unless it is set.
func (o *outbox) setNotAfter(p *pending) {
	if p.entry.NotAfter == 0 {
		p.entry.NotAfter = o.knownNext + SendWindow
	}
}

// unresolved returns the entries in doubt that were not resolved yet.
func (o *outbox) unresolved() []*pending {
	kept := make([]*pending, 0, len(o.inDoubt))
	for _, p := range o.inDoubt {
		if o.isPending(p) {
			kept = append(kept, p)
		}
	}
	return kept
}

// isPending reports whether p is still pending.
func (o *outbox) isPending(p *pending) bool { return o.pending[p.entry.ID] == p }

// recordAnswer records the answer to the append of a packet.
func (o *outbox) recordAnswer(packet []*pending, offset int64, err error, now time.Time) {
	if err == nil {
		o.knownNext = max(o.knownNext, offset+1)
	}
	for _, p := range packet {
		switch {
		case !o.isPending(p): // read back before the answer
		case err == nil:
			o.resolve(p, AppendResult{State: AppendStored, Offset: offset})
		case errors.Is(err, ports.ErrUnavailable) && p.stage == stageSending:
			o.resolve(p, AppendResult{State: AppendNotSent, Err: err})
		default:
			o.markInDoubt(p, err, now)
		}
	}
}

// markInDoubt keeps an entry that may have been stored, and schedules a copy of it.
// The copy has the same ID and NotAfter, so it is harmless in replay if the entry was
// stored.
func (o *outbox) markInDoubt(p *pending, err error, now time.Time) {
	p.resendAt = now.Add(p.resendDelay)
	p.resendDelay = min(2*p.resendDelay, o.opts.ResendAfterMax)
	if p.stage == stageInDoubt {
		return
	}
	p.stage = stageInDoubt
	p.doubtErr = err
	o.inDoubt = append(o.inDoubt, p)
	o.report(p, AppendResult{State: AppendInDoubt, Err: err})
}

// observe resolves the entries that were read back, and the entries in doubt that
// are not in the log up to their NotAfter offset. All entries before next were read
// without gaps, unless skipped is set.
func (o *outbox) observe(entries []LocatedEntry, next int64) {
	for _, e := range entries {
		p, ok := o.pending[e.Entry.ID]
		if !ok || p.stage == stageQueued || e.Offset > p.entry.NotAfter {
			continue
		}
		o.resolve(p, AppendResult{State: AppendStored, Offset: e.Offset})
	}
	o.readNext = max(o.readNext, next)
	o.knownNext = max(o.knownNext, next)
	if !o.skipped {
		o.expire()
	}
}

// expire resolves the entries in doubt that were not read back although reading has
// passed their NotAfter offset.
func (o *outbox) expire() {
	for _, p := range o.unresolved() {
		if o.readNext > p.entry.NotAfter {
			o.resolve(p, AppendResult{State: AppendNotSent, Err: ErrExpired})
		}
	}
}

// lookupResult is the result of looking up the decision on an entry.
type lookupResult struct {
	decision Decision
	found    bool
}

// notLookedUp returns the IDs of the entries that were sent and are not in lookups.
func (o *outbox) notLookedUp(lookups map[string]lookupResult) []string {
	var ids []string
	for id, p := range o.pending {
		if _, ok := lookups[id]; !ok && p.stage != stageQueued {
			ids = append(ids, id)
		}
	}
	return ids
}

// observeSnapshot resolves entries after the reader skipped to a snapshot of the
// given offset. It needs the snapshot's decision on each entry that was sent.
func (o *outbox) observeSnapshot(offset int64, lookups map[string]lookupResult) {
	o.skipped = false
	o.readNext = max(o.readNext, offset+1)
	o.knownNext = max(o.knownNext, offset+1)
	for id, lookup := range lookups {
		if p, ok := o.pending[id]; ok && p.stage != stageQueued {
			o.resolveFromSnapshot(p, offset, lookup)
		}
	}
}

// resolveFromSnapshot resolves one entry. When its decision may be too old for the
// snapshot to still hold it, the entry stays in doubt and is no longer tracked.
func (o *outbox) resolveFromSnapshot(p *pending, offset int64, lookup lookupResult) {
	switch {
	case lookup.found && lookup.decision.Verdict == VerdictExpired:
		o.resolve(p, AppendResult{State: AppendNotSent, Err: ErrExpired})
	case lookup.found:
		o.resolve(p, AppendResult{State: AppendStored, Offset: lookup.decision.Offset})
	case offset < p.entry.NotAfter: // a copy may still take effect
	case offset < p.entry.NotAfter+DecisionWindow-SendWindow:
		o.resolve(p, AppendResult{State: AppendNotSent, Err: ErrExpired})
	case p.stage == stageInDoubt:
		o.remove(p)
	default:
		o.resolve(p, AppendResult{State: AppendInDoubt, Err: ErrOutcomeUnknown})
	}
}

// close resolves the queued entries as not sent.
func (o *outbox) close() {
	for _, p := range o.queue {
		o.resolve(p, AppendResult{State: AppendNotSent, Err: ErrStopped})
	}
	o.queue = nil
}

// resolve reports the final state of an entry and removes it.
func (o *outbox) resolve(p *pending, result AppendResult) {
	o.report(p, result)
	o.remove(p)
}

// report collects a result for each submitter of p.
func (o *outbox) report(p *pending, result AppendResult) {
	result.EntryID = p.entry.ID
	for _, done := range p.done {
		o.reports = append(o.reports, pendingReport{done, result})
	}
}

// remove stops tracking an entry.
func (o *outbox) remove(p *pending) {
	delete(o.pending, p.entry.ID)
	o.bytes -= p.bytes
}

// takeReports returns the collected results and clears them.
func (o *outbox) takeReports() []pendingReport {
	reports := o.reports
	o.reports = nil
	return reports
}
