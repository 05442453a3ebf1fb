package job

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// An occurrenceSet has what a map of the same occurrences has, whatever the order in which they are added.
func TestOccurrenceSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s occurrenceSet
		model := make(map[int]bool)
		for range rapid.IntRange(0, 60).Draw(t, "changes") {
			first := rapid.IntRange(0, 700).Draw(t, "first")
			last := first + rapid.SampledFrom([]int{1, 1, 1, 63, 64, 65, 200}).Draw(t, "length")
			s.addRange(first, last)
			for k := first; k < last; k++ {
				model[k] = true
			}
		}
		end := 0
		for k := range 1000 {
			assert.Equal(t, s.contains(k), model[k], "%d", k)
			if model[k] {
				end = k + 1
			}
		}
		assert.Equal(t, s.count, len(model))
		assert.Equal(t, s.end(), end)
		k := rapid.IntRange(0, 999).Draw(t, "from")
		missing := k
		for model[missing] {
			missing++
		}
		assert.Equal(t, s.nextMissing(k), missing)
		var again occurrenceSet
		ranges := s.ranges()
		assert.Assert(t, slices.IsSorted(ranges))
		for i := 0; i < len(ranges); i += 2 {
			again.addRange(ranges[i], ranges[i+1])
		}
		assert.DeepEqual(t, again.ranges(), ranges)
		assert.Equal(t, again.count, s.count)
	})
}

// A million occurrences that are done in order take no room.
func TestOccurrenceSetOfAPrefixIsSmall(t *testing.T) {
	var s occurrenceSet
	for k := range 1000000 {
		s.add(k)
	}
	assert.Assert(t, len(s.words) <= 1 && s.count == 1000000)
	assert.DeepEqual(t, s.ranges(), []int{0, 1000000})
}
