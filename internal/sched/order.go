package sched

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// LateFactor bounds how long after its due time an occurrence may end and still be of use,
// as a multiple of the time from Due to Objective.
const LateFactor = 3

// starvedAfterFirst is the bound on the wait of a step of priority 0 that others may pass; each further priority has
// twice the bound of the one before. It is far beyond the last use of the work, so that only what would never be
// started reaches it.
const (
	starvedAfterFirst = 2 * time.Minute
	starvedPriorities = 4 // further priorities have the bound of the last
)

// starvedAfter is how long a step of a priority waits before it goes before all steps that no guarantee covers. It
// then waits only for the steps that have waited longer, and for running tasks to end.
func starvedAfter(priority int) time.Duration {
	return starvedAfterFirst << min(max(priority, 0), starvedPriorities)
}

// contendedAfter is how long a step of one class and priority waits before their order by age gives way: a round
// places what fits, so what still waits after several rounds competes for too little room.
const contendedAfter = 500 * time.Millisecond

// The classes of a round's order; lower ones go first.
const (
	classGuaranteed = iota // others must make room for them
	classStarved           // have waited longer than starvedAfter
	classUseful
	classExpired // must not delay steps that can still end in useful time
)

// orderClass returns the step's class in the order of a round. The classes matter when more work arrives within
// seconds than fits.
func (p *PendingStep) orderClass(now time.Time) int {
	switch {
	case p.Guaranteed:
		return classGuaranteed
	case p.starved(now):
		return classStarved
	case p.Expired(now):
		return classExpired
	default:
		return classUseful
	}
}

// starved reports whether the step has waited longer than starvedAfter.
func (p *PendingStep) starved(now time.Time) bool {
	return now.Sub(p.WaitsSince()) > starvedAfter(p.Priority)
}

// WaitsSince is when the step began to wait for its turn.
func (p *PendingStep) WaitsSince() time.Time {
	if p.Since.After(p.Due) {
		return p.Since
	}
	return p.Due
}

// Expired reports whether the occurrence will end too late to be of use. What has starved is started nevertheless.
func (p *PendingStep) Expired(now time.Time) bool {
	allowed := p.Objective.Sub(p.Due) * LateFactor
	return now.Add(p.Remaining).Sub(p.Due) > allowed && !p.starved(now)
}

// late reports whether the occurrence will miss its objective.
func (p *PendingStep) late(now time.Time) bool { return now.Add(p.Remaining).After(p.Objective) }

// estimateError is how far estimates are usually off, as a share.
const estimateError = 0.25

// prospect returns how likely it is that the occurrence still meets its objective if its tasks start now: it will,
// it may unless the estimate is too low, or it will not. What just meets its objective by the estimate misses it as
// often as not, so that more work than fits would all be started at that time and become late.
func (p *PendingStep) prospect(now time.Time) prospect {
	switch margin := time.Duration(estimateError * float64(p.Remaining)); {
	case p.late(now):
		return missesObjective
	case now.Add(p.Remaining + margin).After(p.Objective):
		return mayMeetObjective
	default:
		return meetsObjective
	}
}

type prospect int

const (
	meetsObjective prospect = iota
	mayMeetObjective
	missesObjective
)

// Order sorts pending steps by class, priority and age; starved ones by age alone. Equal ones are sorted by key, so
// that a round depends only on its snapshot. Where steps of one class and priority compete, those that can
// still be in time go first, and organisations take turns.
func Order(pending []PendingStep, now time.Time) {
	slices.SortFunc(pending, func(a, b PendingStep) int {
		class := a.orderClass(now)
		if d := class - b.orderClass(now); d != 0 {
			return d
		}
		if d := a.Priority - b.Priority; d != 0 && class != classStarved {
			return d
		}
		return compareAge(&a, &b)
	})
	for first := 0; first < len(pending); {
		last := first
		contended := false
		class, priority := pending[first].orderClass(now), pending[first].Priority
		for ; last < len(pending) && pending[last].orderClass(now) == class && pending[last].Priority == priority; last++ {
			contended = contended || now.Sub(pending[last].WaitsSince()) > contendedAfter
		}
		if class == classUseful && contended {
			orderCompeting(pending[first:last], now)
		}
		first = last
	}
}

func compareAge(a, b *PendingStep) int {
	isolateLast := 0
	if a.Isolate != b.Isolate {
		isolateLast = -1
		if a.Isolate {
			isolateLast = 1
		}
	}
	return cmp.Or(
		a.WaitsSince().Compare(b.WaitsSince()), strings.Compare(string(a.Key.Job), string(b.Key.Job)), a.Key.Occurrence-b.Key.Occurrence,
		a.Key.Step-b.Key.Step, isolateLast,
	)
}

// orderCompeting orders steps of one class and priority that compete for too little room. Those go first that will
// meet their objectives, then those that may: by age alone, all that waits becomes late together. Among equals,
// organisations take turns: each step goes as if its organisation had to bring its share of the room level with the
// others first. Equal ones of one organisation keep their order by age.
func orderCompeting(steps []PendingStep, now time.Time) {
	turns := make([]turn, len(steps))
	loads := make(map[model.OrganisationID]float64)
	for prospect := meetsObjective; prospect <= missesObjective; prospect++ {
		for i := range steps {
			p := &steps[i]
			if p.prospect(now) != prospect {
				continue
			}
			load, known := loads[p.Organisation]
			if !known {
				load = p.OrganisationLoad
			}
			turns[i] = turn{prospect: prospect, load: load, position: i}
			loads[p.Organisation] = load + float64(len(p.Tasks))*p.Step.Reserved().CoreWeight()/max(p.OrganisationShare, 1)
		}
	}
	slices.SortFunc(turns, func(a, b turn) int {
		return cmp.Or(cmp.Compare(a.prospect, b.prospect), cmp.Compare(a.load, b.load), a.position-b.position)
	})
	sorted := make([]PendingStep, len(steps))
	for i, t := range turns {
		sorted[i] = steps[t.position]
	}
	copy(steps, sorted)
}

// turn is a step's turn among competing ones: load is the share of the room that its organisation has by then.
type turn struct {
	prospect prospect
	load     float64
	position int // by age
}
