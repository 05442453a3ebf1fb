package fleet

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// hastyStore answers reads without records at once, whatever their wait.
type hastyStore struct {
	Store
	reads int
}

func (h *hastyStore) Newest(context.Context, Partition, string) (NewestPage, error) {
	return NewestPage{End: 5}, nil
}

func (h *hastyStore) Read(_ context.Context, _ Partition, from int64, _ time.Duration) (ReadResult, error) {
	h.reads++
	return ReadResult{Next: from, End: 3}, nil
}

// A store whose reads are some seconds behind answers a read beyond their end at once
// (deploy/days/store-partitions on swanbank-ribs-grown): it must not be asked in a loop.
func TestFollowerPausesWhenReadsDoNotWait(t *testing.T) {
	store := &hastyStore{}
	f := &follower{
		store: store, wait: func() time.Duration { return time.Second }, pause: noPause,
		sink: func(followed) {}, log: zap.NewNop(),
	}
	ctx, cancel := context.WithTimeout(t.Context(), 4*followRetry)
	defer cancel()
	f.run(ctx)
	assert.Assert(t, store.reads <= 5, "%d reads", store.reads)
}
