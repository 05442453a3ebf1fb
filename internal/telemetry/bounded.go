package telemetry

import (
	"io"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxQueuedLines is the number of log lines that wait for a slow reader; further
	// lines are dropped.
	maxQueuedLines = 8192
	// In each second, the first sampleFirst lines of a message are written, then one of
	// every sampleThereafter. This keeps a busy term holder under 200 lines a second in all.
	sampleFirst      = 30
	sampleThereafter = 50
)

// BoundedWriter writes lines in the background. It drops lines rather than block the caller.
type BoundedWriter struct {
	lines     chan []byte
	done      chan struct{}
	dropped   tally.Counter
	closeOnce sync.Once
}

// NewBoundedWriter returns a BoundedWriter that writes to w and counts the dropped lines.
func NewBoundedWriter(w io.Writer, dropped tally.Counter) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), dropped: dropped}
	go func() {
		defer close(b.done)
		for line := range b.lines {
			_, _ = w.Write(line) // an error cannot be logged: w is the output of the log
		}
	}()
	return b
}

// Write queues a copy of the line, or drops it if the queue is full.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Inc(1)
	}
	return len(line), nil
}

// Close writes the queued lines. Write must not be called after Close.
func (b *BoundedWriter) Close() {
	b.closeOnce.Do(func() { close(b.lines) })
	<-b.done
}

// WithSampling returns a logger that limits the rate of lines per message and counts
// the dropped ones.
func WithSampling(log *zap.Logger, dropped tally.Counter) *zap.Logger {
	return log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThereafter, zapcore.SamplerHook(
			func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
				if decision&zapcore.LogDropped > 0 {
					dropped.Inc(1)
				}
			}))
	}))
}
