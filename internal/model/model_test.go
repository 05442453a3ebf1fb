package model

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestTokenOrder(t *testing.T) {
	assert.Assert(t, Token{Offset: 1, Rank: 2}.Less(Token{Offset: 2}))
	assert.Assert(t, Token{Offset: 2}.Less(Token{Offset: 2, Rank: 1}))
	assert.Assert(t, !Token{Offset: 2}.Less(Token{Offset: 2}))
}

func TestParseClass(t *testing.T) {
	for c := ClassUrgent; c < ClassCount; c++ {
		got, ok := ParseClass(c.String())
		assert.Assert(t, ok)
		assert.Equal(t, got, c)
	}
	_, ok := ParseClass("invalid")
	assert.Assert(t, !ok)
}
