package dispatch

import (
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

type metrics struct {
	outcomes         [model.ClassCount]map[model.Outcome]tally.Counter
	latency          [model.ClassCount]tally.Timer
	queued           [model.ClassCount]tally.Gauge
	running          [model.ClassCount]tally.Gauge
	shed             tally.Counter
	retries          tally.Counter
	hedges           tally.Counter
	lookups          tally.Counter
	refusedFull      tally.Counter
	ejections        tally.Counter
	badAnswers       tally.Counter
	handOversInDoubt tally.Counter
}

func newMetrics(parent tally.Scope) *metrics {
	s := parent.SubScope("dispatch")
	m := &metrics{
		shed:             s.Counter("shed"),
		retries:          s.Counter("retries"),
		hedges:           s.Counter("hedges"),
		lookups:          s.Counter("lookups"),
		refusedFull:      s.Counter("refused_full"),
		ejections:        s.Counter("ejections"),
		badAnswers:       s.Counter("bad_answers"),
		handOversInDoubt: s.Counter("hand_overs_in_doubt"),
	}
	outcomes := []model.Outcome{model.OutcomeDone, model.OutcomeFailed, model.OutcomeNotRun, model.OutcomeUnknown}
	for c := model.ClassUrgent; c < model.ClassCount; c++ {
		class := s.Tagged(map[string]string{"class": c.String()})
		m.latency[c] = class.Timer("latency")
		m.queued[c] = class.Gauge("queued")
		m.running[c] = class.Gauge("running")
		m.outcomes[c] = map[model.Outcome]tally.Counter{}
		for _, o := range outcomes {
			name := strings.ReplaceAll(string(o), " ", "_")
			m.outcomes[c][o] = class.Tagged(map[string]string{"outcome": name}).Counter("requests")
		}
	}
	return m
}

func (m *metrics) recordOutcome(c model.Class, r Result, took time.Duration) {
	if counter := m.outcomes[c][r.Outcome]; counter != nil {
		counter.Inc(1)
	}
	m.latency[c].Record(took)
}

func (m *metrics) recordQueues(states []QueueState) {
	for _, s := range states {
		m.queued[s.Class].Update(float64(s.Queued))
		m.running[s.Class].Update(float64(s.Running))
	}
}
