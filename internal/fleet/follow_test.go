package fleet

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// noWaitStore answers reads at once without records, whatever their wait.
type noWaitStore struct {
	Store
	reads int
}

func (h *noWaitStore) Newest(context.Context, Partition, string) (NewestPage, error) {
	return NewestPage{End: 5}, nil
}

func (h *noWaitStore) Read(_ context.Context, _ Partition, from int64, _ time.Duration) (ReadResult, error) {
	h.reads++
	return ReadResult{Next: from, End: 3}, nil
}

// A store whose reads lag seconds behind its appends answers a read beyond the readable end at
// once (deploy/days/store-partitions on swanbank-ribs-grown). The follower must not read it in
// a busy loop.
func TestFollowerPausesWhenReadsDoNotWait(t *testing.T) {
	store := &noWaitStore{}
	f := &follower{
		store: store, wait: func() time.Duration { return time.Second }, pause: noPause,
		sink: func(readBatch) {}, log: zap.NewNop(),
	}
	ctx, cancel := context.WithTimeout(t.Context(), 4*followRetry)
	defer cancel()
	f.run(ctx)
	assert.Assert(t, store.reads <= 5, "%d reads", store.reads)
}
