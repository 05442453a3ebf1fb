package replica

import (
	"github.com/eelgrassreach/eelgrassreach/internal/journal"
	"github.com/eelgrassreach/eelgrassreach/internal/model"
)

// Term is the newest claim on an availability zone. Its offset is the fencing token.
type Term struct {
	Offset     int64               `json:"offset"`
	Holder     model.Incarnation   `json:"holder"`
	Address    string              `json:"address"`
	Successors []journal.Successor `json:"successors"`
}

// Token returns the fencing token of the term's holder.
func (t Term) Token() model.Token { return model.Token{Offset: t.Offset} }

// Rank returns the rank of an incarnation in the term: 0 for the holder, 1 and up for
// the successors. ok is false for an incarnation that the term does not name.
func (t Term) Rank(i model.Incarnation) (rank int, ok bool) {
	if t.Holder == i {
		return 0, true
	}
	for n, s := range t.Successors {
		if s.Incarnation == i {
			return n + 1, true
		}
	}
	return 0, false
}

// Term returns the newest claim on an availability zone; the zero Term for none.
func (s *State) Term(az model.AZ) Term { return s.terms[az] }

// Terms calls f for each availability zone that has a term.
func (s *State) Terms(f func(model.AZ, Term)) {
	for az, t := range s.terms {
		f(az, t)
	}
}

func (s *State) applyTerm(l journal.LocatedEntry, c journal.TermClaimed) journal.Decision {
	current := s.terms[c.AZ]
	if c.Previous != current.Offset {
		return conflict(current.Offset, "the term was claimed by another VM")
	}
	// Entries packed into one record share its offset, so a second claim in the record
	// would get the same token.
	if current.Offset == l.Offset {
		return conflict(current.Offset, "the term was claimed in the same record")
	}
	s.terms[c.AZ] = Term{
		Offset:     l.Offset,
		Holder:     c.Holder,
		Address:    c.Address,
		Successors: c.Successors,
	}
	return accepted()
}
