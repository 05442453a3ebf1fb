package sched

import "time"

// LateFactor bounds how long after its due time an occurrence is still of use, as a multiple of its objective.
const LateFactor = lateFactor

// Expired reports whether the occurrence will end too late to be of use.
func (p *PendingStep) Expired(now time.Time) bool { return p.expired(now) }
