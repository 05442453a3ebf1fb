package watch

import (
	"fmt"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/control"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

func (w *Watcher) compareLog(last, next *control.View) {
	if last.Ready != next.Ready {
		w.logger.Info("readiness changed", zap.Bool("ready", next.Ready))
	}
	switch {
	case last.LogReachable && !next.LogReachable:
		w.logger.Warn("platform log unreachable")
	case !last.LogReachable && next.LogReachable:
		w.logger.Info("platform log reachable", zap.Duration("outage", next.LogReachableSince.Sub(last.LogReachableSince)))
	}
}

func (w *Watcher) compareConfig(last, next *control.View) {
	if last.Config == nil || last.Config.Revision != next.Config.Revision {
		w.logger.Info("configuration applied", zap.Int64("revision", next.Config.Revision))
	}
	if last.ConfigStalled == next.ConfigStalled {
		return
	}
	if next.ConfigStalled == "" {
		w.logger.Info("configuration no longer stalled")
		return
	}
	w.logger.Error("configuration stalled", zap.String("reason", next.ConfigStalled))
}

func (w *Watcher) compareTerms(last, next *control.View) {
	for az, term := range next.Terms {
		if last.Terms[az].Token == term.Token && last.Terms[az].Holder == term.Holder {
			continue
		}
		w.logger.Info("term changed",
			zap.String("term_az", string(az)),
			zap.String("holder", string(term.Holder)),
			zap.String("address", term.Address),
			zap.Int64("token", term.Token.Offset),
			zap.Int("rank", term.Token.Rank),
			zap.Bool("mine", term.HeldLocally))
	}
	if last.Terms[next.AZ].HeldLocally && !next.Terms[next.AZ].HeldLocally {
		w.logger.Info("term no longer held", zap.String("term_az", string(next.AZ)))
	}
}

// compareBackends logs changed backend servers of this VM's availability zone.
func (w *Watcher) compareBackends(last, next *control.View) {
	for id, b := range next.Backends {
		if b.Server.AZ != next.AZ {
			continue
		}
		before, known := last.Backends[id]
		now := b.Condition()
		if known && before.Condition() == now || !known && now == control.ConditionLost {
			continue
		}
		w.logger.Info("backend server changed", zap.String("server", string(id)), zap.String("condition", string(now)))
	}
}

// guaranteeKey identifies a guarantee of an organisation.
type guaranteeKey struct {
	organisation model.OrganisationID
	guarantee    model.Guarantee
}

// honouredCounts returns the number of honoured gangs of each guarantee.
func honouredCounts(list []control.GuaranteeState) map[guaranteeKey]int {
	counts := make(map[guaranteeKey]int, len(list))
	for _, g := range list {
		counts[guaranteeKey{g.Organisation, g.Guarantee}] = g.Honoured
	}
	return counts
}

func (w *Watcher) compareRisks(last, next *control.View) {
	before, now := honouredCounts(last.GuaranteesAtRisk), honouredCounts(next.GuaranteesAtRisk)
	for key, honoured := range now {
		if was, known := before[key]; known && was == honoured {
			continue
		}
		w.logger.Warn("guarantee at risk", append(guaranteeFields(key), zap.Int("honoured", honoured))...)
	}
	for key := range before {
		if _, still := now[key]; !still {
			w.logger.Info("guarantee honoured again", guaranteeFields(key)...)
		}
	}
}

func guaranteeFields(key guaranteeKey) []zap.Field {
	shape := key.guarantee.Shape
	return []zap.Field{
		zap.String("organisation", string(key.organisation)),
		zap.String("guarantee_az", string(key.guarantee.AZ)),
		zap.String("shape", fmt.Sprintf("%dx%d/%s", shape.Tasks, shape.Accelerators, shape.Adjacency)),
		zap.Int("count", key.guarantee.Count),
	}
}
