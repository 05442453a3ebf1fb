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
	// boundedLines wait for a slow reader of the log before lines are dropped.
	boundedLines = 8192
	// Per second and message, this many lines are written, and then one of every
	// sampledEvery: a busy holder stays under 200 lines a second in all.
	sampledFirst = 30
	sampledEvery = 50
)

// BoundedWriter writes lines in the background and drops them rather than blocks.
type BoundedWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped tally.Counter
	closing sync.Once
}

// NewBoundedWriter returns a writer in front of w.
func NewBoundedWriter(w io.Writer, dropped tally.Counter) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, boundedLines), done: make(chan struct{}), dropped: dropped}
	go func() {
		defer close(b.done)
		for line := range b.lines {
			_, _ = w.Write(line) // there is no other place to report it
		}
	}()
	return b
}

// Write queues a copy of a line, or drops it when too many wait.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Inc(1)
	}
	return len(line), nil
}

// Close writes what waits. Nothing may be written after it.
func (b *BoundedWriter) Close() {
	b.closing.Do(func() { close(b.lines) })
	<-b.done
}

// WithSampling bounds the lines of each message, and counts those that are left out.
func WithSampling(log *zap.Logger, dropped tally.Counter) *zap.Logger {
	return log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, sampledFirst, sampledEvery, zapcore.SamplerHook(
			func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
				if decision&zapcore.LogDropped > 0 {
					dropped.Inc(1)
				}
			}))
	}))
}
