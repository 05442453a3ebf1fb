package eventloop

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestRunBatchesAndTicks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		events := make(chan int, 10)
		for i := 1; i <= 5; i++ {
			events <- i
		}
		ctx, stop := context.WithCancel(t.Context())
		var batches [][]int
		go Run(ctx, events, 0, time.Second, 3, func(e []int) { batches = append(batches, e) })
		time.Sleep(1500 * time.Millisecond)
		stop()
		synctest.Wait()
		assert.DeepEqual(t, batches, [][]int{{1, 2, 3}, {4, 5}, {0}})
	})
}
