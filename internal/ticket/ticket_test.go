package ticket

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func TestTicketRoundTrip(t *testing.T) {
	want := New("10.0.0.1:7000", "inc", time.Minute, start)
	got, err := Parse(want.String())
	assert.NilError(t, err)
	assert.Assert(t, got.Expiry.Equal(start.Add(time.Minute)))
	got.Expiry = want.Expiry
	assert.Equal(t, got, want)
}

func TestTicketDetectsChange(t *testing.T) {
	text := New("10.0.0.1:7000", "inc", time.Minute, start).String()
	rapid.Check(t, func(t *rapid.T) {
		raw := []byte(text)
		i := rapid.IntRange(0, len(raw)-1).Draw(t, "at")
		raw[i] = rapid.SampledFrom([]byte("ABCabc019-_ =")).Draw(t, "byte")
		if string(raw) == text {
			return
		}
		_, err := Parse(string(raw))
		assert.ErrorIs(t, err, ErrMalformed)
	})
}

func FuzzParse(f *testing.F) {
	f.Add(New("10.0.0.1:7000", "inc", time.Minute, start).String())
	f.Add("")
	f.Fuzz(func(t *testing.T, s string) {
		got, err := Parse(s)
		if err == nil && got.String() != s {
			t.Fatalf("%q parses to a ticket that encodes as %q", s, got.String())
		}
	})
}

func use(r *Registry, t Ticket, now time.Time) Verdict {
	v, _ := r.Use(t, "request", "binding", now)
	return v
}

func TestRegistryVerdicts(t *testing.T) {
	ticket := New("a", "inc", time.Minute, start)
	settled := func(r *Registry) { use(r, ticket, start); r.Settle(ticket, Answer{Outcome: model.OutcomeDone}) }
	inDoubt := func(r *Registry) { use(r, ticket, start); r.BeginSend(ticket, "server"); r.MarkInDoubt(ticket) }
	cases := []struct {
		name   string
		before func(r *Registry)
		at     time.Duration
		want   Verdict
	}{
		{"first use", func(*Registry) {}, 0, Run},
		{"in flight", func(r *Registry) { use(r, ticket, start) }, 0, Wait},
		{"settled", settled, 0, Answered},
		{"settled and expired", settled, 2 * time.Minute, Answered},
		{"in doubt", inDoubt, 0, AskBackend},
		{"expired unused", func(*Registry) {}, time.Minute, ExpiredUnused},
		{"expired long ago", func(*Registry) {}, time.Minute + Retention + 1, Forgotten},
		{"frozen", func(r *Registry) { r.Freeze() }, 0, HandedOver},
		{"frozen and settled", func(r *Registry) { settled(r); r.Freeze() }, 0, Answered},
		{"frozen and queued", func(r *Registry) { use(r, ticket, start); r.Freeze() }, 0, HandedOver},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := NewRegistry("inc", Bounds{})
			c.before(r)
			assert.Equal(t, use(r, ticket, start.Add(c.at)), c.want)
		})
	}
	v, _ := NewRegistry("other", Bounds{}).Use(ticket, "request", "binding", start)
	assert.Equal(t, v, NotArbiter)
}

func TestRegistryBounds(t *testing.T) {
	r := NewRegistry("inc", Bounds{Entries: 2, BodyBytes: 10})
	first, second, third := New("a", "inc", 0, start), New("a", "inc", 0, start), New("a", "inc", 0, start)
	for _, ticket := range []Ticket{first, second} {
		assert.Equal(t, use(r, ticket, start), Run)
		r.Settle(ticket, Answer{Outcome: model.OutcomeDone, Body: make([]byte, 8)})
	}
	assert.Equal(t, use(r, first, start), BodyDropped)
	assert.Equal(t, use(r, second, start), Answered)
	assert.Equal(t, use(r, third, start), Full)
	later := start.Add(DefaultTTL + Retention + time.Second)
	assert.Equal(t, use(r, New("a", "inc", 0, later), later), Run)
	assert.Equal(t, len(r.entries), 1)
	assert.Equal(t, r.bodyBytes, int64(0))
}

// TestHandOverRunsOnce hands a ticket over from one Registry to another in random steps,
// and checks that its request is sent at most once.
func TestHandOverRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender, receiver := NewRegistry("giver", Bounds{}), NewRegistry("taker", Bounds{})
		ticket := New("a", "giver", 0, start)
		sends := 0
		trySend := func(r *Registry) {
			if r.BeginSend(ticket, "server") {
				sends++
				r.MarkInDoubt(ticket)
			}
		}
		steps := rapid.SliceOf(rapid.SampledFrom([]string{"use", "send", "hand over", "take use", "take send"})).Draw(t, "steps")
		for _, s := range steps {
			switch s {
			case "use":
				use(sender, ticket, start)
			case "send":
				trySend(sender)
			case "hand over":
				_ = receiver.Adopt("giver", sender.Freeze()["giver"], start)
			case "take use":
				use(receiver, ticket, start)
			case "take send":
				trySend(receiver)
			}
		}
		assert.Assert(t, sends <= 1)
	})
}
