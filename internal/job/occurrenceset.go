package job

import "math/bits"

// occurrenceSet is a set of occurrences of a job. Its size follows the spread of those above the first that is missing.
type occurrenceSet struct {
	base  int      // all below are in the set; a multiple of 64
	words []uint64 // bit b of word w is occurrence base + 64*w + b
	count int
}

// add adds an occurrence, which must not be negative.
func (s *occurrenceSet) add(k int) {
	if k < s.base {
		return
	}
	word, bit := (k-s.base)/64, uint64(1)<<((k-s.base)%64)
	if word >= len(s.words) {
		s.words = append(s.words, make([]uint64, word+1-len(s.words))...)
	}
	if s.words[word]&bit != 0 {
		return
	}
	s.words[word] |= bit
	s.count++
	s.trim()
}

// addRange adds the occurrences from first to before last.
func (s *occurrenceSet) addRange(first, last int) {
	first = max(first, s.base)
	if first == s.base && s.lowEnd() <= last/64*64 {
		s.advance(last / 64 * 64)
		first = s.base
	}
	for k := first; k < last; k++ {
		s.add(k)
	}
}

// lowEnd is the end of the occurrences that the words describe.
func (s *occurrenceSet) lowEnd() int { return s.base + 64*len(s.words) }

// advance adds all occurrences below base, which is a multiple of 64 and not below lowEnd.
func (s *occurrenceSet) advance(base int) {
	for _, w := range s.words {
		s.count -= bits.OnesCount64(w)
	}
	s.count += base - s.base
	s.base, s.words = base, nil
}

// trim drops the words of which all occurrences are in the set from the begin.
func (s *occurrenceSet) trim() {
	full := 0
	for full < len(s.words) && s.words[full] == ^uint64(0) {
		full++
	}
	if full > 0 {
		s.base += 64 * full
		s.words = append([]uint64(nil), s.words[full:]...)
	}
}

func (s *occurrenceSet) contains(k int) bool {
	if k < s.base {
		return true
	}
	word := (k - s.base) / 64
	return word < len(s.words) && s.words[word]&(1<<((k-s.base)%64)) != 0
}

// nextMissing returns the first occurrence from k on that is not in the set.
func (s *occurrenceSet) nextMissing(k int) int {
	k = max(k, s.base)
	for word := (k - s.base) / 64; word < len(s.words); word++ {
		if missing := ^s.words[word] &^ (1<<((k-s.base)%64) - 1); missing != 0 {
			return s.base + 64*word + bits.TrailingZeros64(missing)
		}
		k = s.base + 64*(word+1)
	}
	return k
}

// next returns the first occurrence from k on that is in the set; false if there is none.
func (s *occurrenceSet) next(k int) (int, bool) {
	if k < s.base {
		return k, true
	}
	for word := (k - s.base) / 64; word < len(s.words); word++ {
		if present := s.words[word] &^ (1<<((k-s.base)%64) - 1); present != 0 {
			return s.base + 64*word + bits.TrailingZeros64(present), true
		}
		k = s.base + 64*(word+1)
	}
	return 0, false
}

// end returns the occurrence after the last one in the set.
func (s *occurrenceSet) end() int {
	for word := len(s.words) - 1; word >= 0; word-- {
		if w := s.words[word]; w != 0 {
			return s.base + 64*word + bits.Len64(w)
		}
	}
	return s.base
}

// ranges returns the set as pairs of a first occurrence and the one after the last.
func (s *occurrenceSet) ranges() []int {
	var list []int
	for k, ok := s.next(0); ok; k, ok = s.next(k) {
		end := s.nextMissing(k)
		list = append(list, k, end)
		k = end
	}
	return list
}
