package vm

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/settings"
)

// drain stops the VM gracefully. The VM first reports that it is not ready and waits for
// the load balancer to notice. Then it refuses new commands, finishes or hands over every
// request, and meanwhile hands its term over. A non-nil error means that DrainTimeout passed
// before all this was done.
func (n *node) drain(ctx context.Context, s settings.Serve) error {
	n.draining.Store(true)
	n.logger.Info("draining", zap.Duration("notice", s.DrainNotice), zap.Duration("timeout", s.DrainTimeout))
	time.Sleep(s.DrainNotice)

	ctx, cancel := context.WithTimeout(ctx, s.DrainTimeout)
	defer cancel()
	n.gate.Close()
	termErr := make(chan error, 1)
	go func() { termErr <- n.control.Drain(ctx) }()
	return errors.Join(
		wrapDrainError("requests", n.dispatch.Drain(ctx)),
		wrapDrainError("commands in progress", n.gate.Wait(ctx)),
		wrapDrainError("term", <-termErr),
		wrapDrainError("appends", n.publisher.Flush(ctx)),
	)
}

func wrapDrainError(what string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("drain %s: %w", what, err)
}
