package vm

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/internal/settings"
)

// drain stops the VM gracefully: not ready for the balancer first, then no more
// admission, then every request finished or handed over and the term handed over.
// A non-nil error means that the bound ran out.
func (n *node) drain(ctx context.Context, s settings.Serve) error {
	n.draining.Store(true)
	n.logger.Info("draining", zap.Duration("notice", s.DrainNotice), zap.Duration("timeout", s.DrainTimeout))
	time.Sleep(s.DrainNotice)

	ctx, cancel := context.WithTimeout(ctx, s.DrainTimeout)
	defer cancel()
	n.gate.Close()
	requests := n.dispatch.Drain(ctx)
	inside := n.gate.Wait(ctx)
	term := n.control.Drain(ctx)
	appends := n.publisher.Flush(ctx)
	return errors.Join(
		wrap("requests", requests),
		wrap("commands in progress", inside),
		wrap("term", term),
		wrap("appends", appends),
	)
}

func wrap(what string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("drain %s: %w", what, err)
}
